package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// compressMinBytes is the size from which a value is compressed between
	// nodes. A configuration of thousands of routes is sent to every node, and
	// some nodes have slow links.
	compressMinBytes = 4 << 10
	// maxValueBytes is the maximum size of a decompressed value from a peer. It
	// is larger than the limit of the platform, so that this limit can grow.
	maxValueBytes = 16 << 20
)

// compress returns the item as it is sent to other nodes: values of at least
// compressMinBytes are moved to Compressed.
func (i Item) compress() Item {
	if len(i.Value) < compressMinBytes {
		return i
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return i
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(i.Value)
	_ = w.Close()
	i.Value, i.Compressed = nil, compressed.Bytes()
	return i
}

// decompress returns an item received from another node with its value restored.
func (i Item) decompress() (Item, error) {
	if i.Compressed == nil {
		return i, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(i.Compressed)), maxValueBytes+1))
	switch {
	case err != nil:
		return i, fault.Wrap(fault.Invalid, err, "the value of %s cannot be decompressed", i.Key)
	case len(value) > maxValueBytes:
		return i, fault.New(fault.Invalid, "the decompressed value of %s has more than %d bytes", i.Key, maxValueBytes)
	}
	i.Value, i.Compressed = value, nil
	return i, nil
}

// decompress returns a batch received from another node with the values of its
// items restored. The items are changed in place. The error is Invalid for a value that
// cannot be restored, an item without a key or revision, or an age out of range.
func (b Batch) decompress() (Batch, error) {
	if b.Age < 0 {
		return b, fault.New(fault.Invalid, "a batch has an age of %s", b.Age)
	}
	for n, i := range b.Items {
		if i.Key == "" || i.Revision == 0 {
			return b, fault.New(fault.Invalid, "an item has no key or no revision")
		}
		item, err := i.decompress()
		if err != nil {
			return b, err
		}
		b.Items[n] = item
	}
	return b, nil
}
