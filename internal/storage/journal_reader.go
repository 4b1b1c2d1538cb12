package storage

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"sagevale/internal/clock"
)

const (
	// chunkPrefix is the prefix of the keys of all chunks.
	chunkPrefix = "log/"
	// listPageSize is the maximum number of chunks that one List request reads.
	listPageSize = 1000
	// listTimeoutMultiple is the timeout of a List request, as a multiple of the request timeout.
	// It is longer than the timeout of other requests because the response is large.
	listTimeoutMultiple = 8
)

// ChunkKey returns the key of a journal chunk.
func ChunkKey(number uint64) string { return fmt.Sprintf("%s%012d", chunkPrefix, number) }

// parseChunkKey returns the number of the chunk that is stored under the key.
func parseChunkKey(key string) (number uint64, err error) {
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, chunkPrefix), "%d", &number); err != nil {
		return 0, fmt.Errorf("parse chunk key %q: %w", key, err)
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
			if err := j.indexStoredChunk(item); err != nil {
				return err
			}
			after = item.Key
		}
		if !more || len(items) == 0 {
			return nil
		}
	}
}

// listChunks reads the next page of chunks, with keys greater than after. It retries while the
// store refuses the request or doesn't respond.
func (j *Journal) listChunks(ctx context.Context, after string) (items []Item, more bool, err error) {
	for {
		items, more, err = j.listChunksOnce(ctx, after)
		if err == nil {
			return items, more, nil
		}
		if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrOutcomeUnknown) {
			return nil, false, fmt.Errorf("read journal: %w", err)
		}
		if !clock.Sleep(ctx, retryDelay) {
			return nil, false, ctx.Err()
		}
	}
}

// listChunksOnce sends one List request.
func (j *Journal) listChunksOnce(ctx context.Context, after string) (items []Item, more bool, err error) {
	ctx, cancel := j.limits.withTimeout(ctx, listTimeoutMultiple)
	defer cancel()
	items, more, _, err = j.store.List(ctx, chunkPrefix, after, listPageSize)
	return items, more, err
}

// indexStoredChunk decodes a stored chunk and adds it to the index.
func (j *Journal) indexStoredChunk(item Item) error {
	number, err := parseChunkKey(item.Key)
	if err != nil {
		return err
	}
	records, err := decodeChunk(item.Data)
	if err != nil {
		return fmt.Errorf("decode chunk %q: %w", item.Key, err)
	}
	j.index.addChunk(number, records, isNonPlain(item.Data, records))
	j.nextChunkNumber, j.previousChunkVersion = number+1, item.Version
	return nil
}
