package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/peer/wire"
)

// packer deflates documents: a shard of customers shrinks to a quarter. It
// keeps the latest form of each, because a change goes to every follower of a
// reader and deflating costs it more than all else about a change.
type packer struct {
	mu     sync.Mutex
	byName map[config.DocumentName]packed
}

type packed struct {
	hash     uint64
	deflated []byte
}

func (packer *packer) pack(update config.Update) (*wire.ChangesReply, error) {
	reply := &wire.ChangesReply{Version: digest.Version(), AgeMs: uint64(max(update.AgeMS, 0))}
	for _, document := range update.Documents {
		deflated, err := packer.document(document)
		if err != nil {
			return nil, err
		}
		reply.Documents = append(reply.Documents, &wire.Document{Name: string(document.Name), Deflated: deflated})
	}
	return reply, nil
}

func (packer *packer) document(document config.Document) ([]byte, error) {
	hash := xxhash.Sum64(document.Text)
	packer.mu.Lock()
	defer packer.mu.Unlock()
	if found, ok := packer.byName[document.Name]; ok && found.hash == hash {
		return found.deflated, nil
	}
	deflated, err := deflate(document.Text)
	if err != nil {
		return nil, err
	}
	if packer.byName == nil {
		packer.byName = map[config.DocumentName]packed{}
	}
	packer.byName[document.Name] = packed{hash, deflated}
	return deflated, nil
}

func deflate(text []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := writer.Write(text); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}

func unpackUpdate(reply *wire.ChangesReply) (config.Update, error) {
	update := config.Update{AgeMS: peridotpath.Millis(reply.AgeMs)}
	for _, document := range reply.Documents {
		reader := flate.NewReader(bytes.NewReader(document.Deflated))
		text, err := io.ReadAll(io.LimitReader(reader, keyvalue.MaxValueBytes+1))
		if err != nil || len(text) > keyvalue.MaxValueBytes {
			return config.Update{}, Error.New("document %q: %d bytes: %v", document.Name, len(text), err)
		}
		update.Documents = append(update.Documents, config.Document{Name: config.DocumentName(document.Name), Text: text})
	}
	return update, nil
}
