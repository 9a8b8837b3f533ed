package feed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Guards against a large configuration that delays all other traffic. This
// happens when its transfer saturates the links of the nodes that forward it.
func TestLargeValue(t *testing.T) {
	// maxFraction is the maximum ratio of the sent to the original size. A node
	// must be able to send a configuration of one megabyte to 30 peers within a
	// second, over the slowest link. The link carries 20 Mbit/s, that is, 20/8
	// megabytes per second.
	const maxFraction = 20.0 / 8 / 30
	var document bytes.Buffer
	for n := range 2000 {
		fmt.Fprintf(&document, `{"name":"route-%d","hostname":"a%d.example","prefix":"/p%d/","route_type":"streaming","timeout_ms":10000,"service":"assistant"},`, n, n%40, n)
	}
	from, to := newFeed(), newFeed()
	from.Apply(Batch{Version: Version{Revision: 1}, Complete: true, Items: []Item{{Key: "config", Value: document.Bytes(), Revision: 1}}}, time.Now())
	sent, err := json.Marshal(from.changesSince(Version{}))
	require.NoError(t, err)
	require.Less(t, float64(len(sent)), maxFraction*float64(document.Len()))

	var received Batch
	require.NoError(t, json.Unmarshal(sent, &received))
	received, err = received.decompress()
	require.NoError(t, err)
	to.Apply(received, time.Now())
	require.Equal(t, document.Bytes(), to.Live()["config"].Value)
	forwarded, err := to.changesSince(Version{}).decompress()
	require.NoError(t, err)
	require.Equal(t, document.Bytes(), forwarded.Items[0].Value, "a node that received the value must forward it")
}

// Guards against two faults with compressed values from a peer: a malformed value
// is accepted as an empty one, or a small compressed value exhausts the memory
// when it is decompressed.
func TestBadCompressedValue(t *testing.T) {
	oversized := Item{Key: "config", Value: make([]byte, maxValueBytes+1), Revision: 1}.compress()
	for name, compressed := range map[string][]byte{"truncated": oversized.Compressed[:len(oversized.Compressed)/2], "too large": oversized.Compressed, "noise": []byte("noise")} {
		t.Run(name, func(t *testing.T) {
			_, err := Batch{Items: []Item{{Key: "config", Compressed: compressed, Revision: 1}}}.decompress()
			require.Equal(t, fault.Invalid, fault.KindOf(err))
		})
	}
}

// Guards against a batch of a faulty peer that makes the copy look up to date for good,
// or adds items that no platform has.
func TestOddBatches(t *testing.T) {
	sound := Item{Key: "k", Revision: 1}
	for name, b := range map[string]Batch{
		"negative age": {Version: Version{Revision: 1}, Age: -time.Hour, Items: []Item{sound}},
		"no key":       {Version: Version{Revision: 1}, Items: []Item{sound, {Revision: 1}}},
		"no revision":  {Version: Version{Revision: 1}, Items: []Item{sound, {Key: "x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := b.decompress()
			require.Equal(t, fault.Invalid, fault.KindOf(err))
		})
	}
	_, err := Batch{Version: Version{Revision: 1}, Age: time.Second, Items: []Item{sound}}.decompress()
	require.NoError(t, err)
}
