package nodeloop

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"github.com/citrongate/citrongate/pkg/node"
)

// Identity is drawn anew at each start.
type Identity struct {
	// Incarnation is never used twice.
	Incarnation node.Incarnation
	// TicketSecret keys the tickets of this incarnation.
	TicketSecret []byte
	// Seed makes the random choices of this run.
	Seed uint64
}

// NewIdentity draws from the system's random generator.
func NewIdentity() (Identity, error) {
	raw := make([]byte, 48)
	for {
		if _, err := rand.Read(raw); err != nil {
			return Identity{}, err
		}
		id := Identity{
			Incarnation:  node.Incarnation(binary.BigEndian.Uint64(raw[:8])),
			Seed:         binary.BigEndian.Uint64(raw[8:16]),
			TicketSecret: raw[16:48],
		}
		if id.Incarnation != 0 {
			return id, nil
		}
	}
}

// String is the incarnation as it appears in logs, status and the instance list.
func (i Identity) String() string { return IncarnationText(i.Incarnation) }

// IncarnationText is an incarnation as it appears in logs, status and lists.
func IncarnationText(i node.Incarnation) string { return fmt.Sprintf("%016x", uint64(i)) }
