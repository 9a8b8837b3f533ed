package system

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	standinreply "github.com/verbenapier/verbenapier/emul/internal/reply"
)

// Guards against answers and errors that the published Go client of the OpenAI
// API cannot parse.
func TestPublishedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t)
		defer d.close()
		transport := &http.Transport{DialContext: d.net.Host(callerHost).DialContext}
		defer transport.CloseIdleConnections()
		client := openai.NewClient(
			option.WithBaseURL("http://"+nodeAddr(0, 80)+"/v1"), option.WithAPIKey(shopKey),
			option.WithHTTPClient(&http.Client{Transport: transport}), option.WithMaxRetries(0),
		)
		ctx := context.Background()
		want := standinreply.NewSource("user: Who gave the bell?\n").Text(8)
		params := openai.ChatCompletionNewParams{
			Model: "draft", MaxTokens: openai.Int(8),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Who gave the bell?")},
		}

		answer, err := client.Chat.Completions.New(ctx, params)
		require.NoError(t, err)
		require.Equal(t, want, answer.Choices[0].Message.Content)
		require.EqualValues(t, 8, answer.Usage.CompletionTokens)

		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		var all openai.ChatCompletionAccumulator
		for stream.Next() {
			require.True(t, all.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		require.Equal(t, want, all.Choices[0].Message.Content)
		require.Equal(t, "length", all.Choices[0].FinishReason)
		require.EqualValues(t, 8, all.Usage.CompletionTokens)

		models, err := client.Models.List(ctx)
		require.NoError(t, err)
		require.Equal(t, "draft", models.Data[0].ID)

		params.Model = "unknown"
		_, err = client.Chat.Completions.New(ctx, params)
		var refused *openai.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, http.StatusNotFound, refused.StatusCode)
		require.Equal(t, "not_found", refused.Code)
	})
}
