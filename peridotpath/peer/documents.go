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

// documentDeflater compresses documents with DEFLATE, which reduces a shard of customers to a
// quarter of its size. It caches the latest compressed form of each document: a reader sends
// each change to all of its followers, and compression is the largest part of the cost.
type documentDeflater struct {
	mu     sync.Mutex
	byName map[config.DocumentName]deflatedDocument
}

type deflatedDocument struct {
	hash     uint64
	deflated []byte
}

func (documentDeflater *documentDeflater) encodeUpdate(update config.Update) (*wire.ChangesReply, error) {
	reply := &wire.ChangesReply{Version: digest.Version(), AgeMs: uint64(max(update.AgeMS, 0))}
	for _, document := range update.Documents {
		deflated, err := documentDeflater.deflateCached(document)
		if err != nil {
			return nil, err
		}
		reply.Documents = append(reply.Documents, &wire.Document{Name: string(document.Name), Deflated: deflated})
	}
	return reply, nil
}

func (documentDeflater *documentDeflater) deflateCached(document config.Document) ([]byte, error) {
	hash := xxhash.Sum64(document.Text)
	documentDeflater.mu.Lock()
	defer documentDeflater.mu.Unlock()
	if found, ok := documentDeflater.byName[document.Name]; ok && found.hash == hash {
		return found.deflated, nil
	}
	deflated, err := deflate(document.Text)
	if err != nil {
		return nil, err
	}
	if documentDeflater.byName == nil {
		documentDeflater.byName = map[config.DocumentName]deflatedDocument{}
	}
	documentDeflater.byName[document.Name] = deflatedDocument{hash, deflated}
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

func decodeUpdate(reply *wire.ChangesReply) (config.Update, error) {
	update := config.Update{AgeMS: peridotpath.Millis(reply.AgeMs)}
	for _, document := range reply.Documents {
		reader := flate.NewReader(bytes.NewReader(document.Deflated))
		text, err := io.ReadAll(io.LimitReader(reader, keyvalue.MaxValueBytes+1))
		if err != nil || len(text) > keyvalue.MaxValueBytes {
			return config.Update{}, Error.New("inflate document %q: %d bytes: %v", document.Name, len(text), err)
		}
		update.Documents = append(update.Documents, config.Document{Name: config.DocumentName(document.Name), Text: text})
	}
	return update, nil
}
