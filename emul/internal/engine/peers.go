package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/verbenapier/verbenapier/emul/internal/batch"
)

// importResponse is the answer to POST /v1/kv/import. Tokens is the number of
// tokens that the engine holds, which may be lower than the number in the request.
type importResponse struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Peers calls the KV interface of other engines over HTTP.
type Peers struct{ client *http.Client }

// NewPeers returns a Peers that sends its calls through client.
func NewPeers(client *http.Client) *Peers { return &Peers{client: client} }

// Import implements batch.Peers.
func (p *Peers) Import(ctx context.Context, address string, req batch.ImportRequest) (int, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return 0, err
	}
	var answer importResponse
	err = p.call(ctx, http.MethodPost, "http://"+address+"/v1/kv/import", body, &answer)
	return answer.Tokens, err
}

// Free implements batch.Peers.
func (p *Peers) Free(ctx context.Context, address, id string) error {
	return p.call(ctx, http.MethodDelete, "http://"+address+"/v1/kv/"+url.PathEscape(id), nil, nil)
}

func (p *Peers) call(ctx context.Context, method, target string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

// Weights reads the weights of models from the platform's weight store.
type Weights struct {
	client   http.Client
	platform string
}

// NewWeights returns a reader of the weight store of the platform at a base URL.
func NewWeights(platform string) *Weights { return &Weights{platform: platform} }

// Read reads the weights of a model and discards them.
func (w *Weights) Read(ctx context.Context, model string) error {
	target := w.platform + "/weights/" + url.PathEscape(model)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
