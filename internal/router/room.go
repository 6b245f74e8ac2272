package router

import (
	"io"

	"golang.org/x/sync/semaphore"
)

// room bounds what a router holds for callers at once.
type room struct {
	open  *semaphore.Weighted
	bytes *semaphore.Weighted
}

func newRoom(maxOpen, maxBytes int64) *room {
	return &room{open: semaphore.NewWeighted(maxOpen), bytes: semaphore.NewWeighted(maxBytes)}
}

func (r *room) enter() error {
	if !r.open.TryAcquire(1) {
		return noRoom("requests")
	}
	return nil
}

func (r *room) leave() { r.open.Release(1) }

// bodyRoom is the room that one request's body has taken so far.
type bodyRoom struct {
	room  *room
	taken int64
}

// take has the body take up so many bytes in all.
func (b *bodyRoom) take(bytes int64) error {
	more := bytes - b.taken
	if more <= 0 {
		return nil
	}
	if !b.room.bytes.TryAcquire(more) {
		return noRoom("bodies")
	}
	b.taken = bytes
	return nil
}

func (b *bodyRoom) free() {
	b.room.bytes.Release(b.taken)
	b.taken = 0
}

// reader counts a body while it arrives: callers may send slowly, and what they have sent is
// held all the while.
func (b *bodyRoom) reader(body io.Reader) io.Reader { return &countedBody{room: b, body: body} }

type countedBody struct {
	room *bodyRoom
	body io.Reader
	read int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	c.read += int64(n)
	if full := c.room.take(c.read); full != nil {
		return n, full
	}
	return n, err
}
