package storage

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"sagevale/internal/clock"
)

const (
	// chunkPrefix begins the keys of all chunks.
	chunkPrefix = "log/"
	// listLimit is how many chunks one request reads.
	listLimit = 1000
	// listTimeouts is how many request timeouts such a request may take: the answer is large.
	listTimeouts = 8
)

// ChunkKey returns the key of a journal chunk.
func ChunkKey(number uint64) string { return fmt.Sprintf("%s%012d", chunkPrefix, number) }

// chunkNumber returns the number of the chunk with a key.
func chunkNumber(key string) (number uint64, err error) {
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, chunkPrefix), "%d", &number); err != nil {
		return 0, fmt.Errorf("chunk key %q: %w", key, err)
	}
	return number, nil
}

// readChunks reads all chunks into the index.
func (j *Journal) readChunks(ctx context.Context) error {
	after := ""
	for {
		items, more, err := j.listChunks(ctx, after)
		if err != nil {
			return err
		}
		for _, item := range items {
			if err := j.readChunk(item); err != nil {
				return err
			}
			after = item.Key
		}
		if !more || len(items) == 0 {
			return nil
		}
	}
}

// listChunks reads the next chunks, and retries until the store answers.
func (j *Journal) listChunks(ctx context.Context, after string) (items []Item, more bool, err error) {
	for {
		items, more, err = j.listOnce(ctx, after)
		if err == nil {
			return items, more, nil
		}
		if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrOutcomeUnknown) {
			return nil, false, fmt.Errorf("read journal: %w", err)
		}
		if !clock.Sleep(ctx, retryPause) {
			return nil, false, ctx.Err()
		}
	}
}

func (j *Journal) listOnce(ctx context.Context, after string) (items []Item, more bool, err error) {
	ctx, cancel := j.limits.withTimeout(ctx, listTimeouts)
	defer cancel()
	items, more, _, err = j.store.List(ctx, chunkPrefix, after, listLimit)
	return items, more, err
}

// readChunk adds a stored chunk to the index.
func (j *Journal) readChunk(item Item) error {
	number, err := chunkNumber(item.Key)
	if err != nil {
		return err
	}
	records, err := decodeChunk(item.Data)
	if err != nil {
		return fmt.Errorf("chunk %q: %w", item.Key, err)
	}
	j.index.addChunk(number, records, isEncoded(item.Data, records))
	j.nextChunk, j.previousVersion = number+1, item.Version
	return nil
}
