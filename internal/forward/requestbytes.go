package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// requestRoomWait bounds the time for which a request waits until its upstream has answered
// others. It is short, since the upstream may leave meanwhile and the permit is not used.
const requestRoomWait = 250 * time.Millisecond

// requestBytes bounds, for each upstream, the bytes of the bodies of requests that it was sent and
// has not answered. It is safe for concurrent use.
type requestBytes struct {
	// limit is the bound for one upstream; 0 means no bound.
	limit int64
	total atomic.Int64

	mu        sync.Mutex
	byAddress map[string]*requestRoom
}

// requestRoom is the room at one upstream. It exists while a request uses or awaits it.
type requestRoom struct {
	bytes *semaphore.Weighted
	users int
}

// acquire takes room for a body at an upstream and returns a function that gives it back. A body
// larger than the bound takes all of it. It fails after requestRoomWait or when ctx ends; waits
// is called if there is no room at once.
func (b *requestBytes) acquire(
	ctx context.Context, address string, body int, waits func(),
) (release func(), err error) {
	if body == 0 || b.limit <= 0 {
		b.total.Add(int64(body))
		return func() { b.total.Add(-int64(body)) }, nil
	}
	room, bytes := b.enter(address), min(int64(body), b.limit)
	if !room.bytes.TryAcquire(bytes) {
		waits()
		limited, cancel := context.WithTimeout(ctx, requestRoomWait)
		defer cancel()
		if err := room.bytes.Acquire(limited, bytes); err != nil {
			b.leave(address, room)
			return nil, err
		}
	}
	b.total.Add(int64(body))
	return func() {
		b.total.Add(-int64(body))
		room.bytes.Release(bytes)
		b.leave(address, room)
	}, nil
}

// enter returns the room at an upstream, which stays until the matching leave.
func (b *requestBytes) enter(address string) *requestRoom {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := b.byAddress[address]
	if room == nil {
		room = &requestRoom{bytes: semaphore.NewWeighted(b.limit)}
		b.byAddress[address] = room
	}
	room.users++
	return room
}

func (b *requestBytes) leave(address string, room *requestRoom) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if room.users--; room.users == 0 {
		delete(b.byAddress, address)
	}
}

// RequestBytes is the number of bytes of bodies that upstreams were sent and have not answered.
func (c *Client) RequestBytes() int64 { return c.requestBytes.total.Load() }
