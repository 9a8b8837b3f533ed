package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// packMin is the size in bytes from which a value travels compressed between
	// nodes. A configuration of thousands of routes goes to every node, some of
	// which have slow links.
	packMin = 4 << 10
	// maxValue bounds a value that a peer sends, in bytes: that of the platform
	// with room to grow.
	maxValue = 16 << 20
)

// pack returns the item as it travels to another node.
func (i Item) pack() Item {
	if len(i.Value) < packMin {
		return i
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return i
	}
	// A buffer takes every write.
	_, _ = w.Write(i.Value)
	_ = w.Close()
	i.Value, i.Packed = nil, packed.Bytes()
	return i
}

// unpack returns the item of another node with its value.
func (i Item) unpack() (Item, error) {
	if i.Packed == nil {
		return i, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(i.Packed)), maxValue+1))
	switch {
	case err != nil:
		return i, fault.Wrap(fault.Invalid, err, "the value of %s cannot be unpacked", i.Key)
	case len(value) > maxValue:
		return i, fault.New(fault.Invalid, "the value of %s has more than %d bytes", i.Key, maxValue)
	}
	i.Value, i.Packed = value, nil
	return i, nil
}

// unpack returns the batch of another node with the values of its items.
func (b Batch) unpack() (Batch, error) {
	for n, i := range b.Items {
		item, err := i.unpack()
		if err != nil {
			return b, err
		}
		b.Items[n] = item
	}
	return b, nil
}
