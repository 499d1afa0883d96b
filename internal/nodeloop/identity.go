package nodeloop

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"github.com/citrongate/citrongate/pkg/node"
)

// Identity holds the random values that a process draws at each start.
type Identity struct {
	// Incarnation identifies this run of the process; it is not zero. 64 random
	// bits make it practically unique among all runs of all instances.
	Incarnation node.Incarnation
	// TicketSecret is the key that authenticates tickets issued by this incarnation.
	TicketSecret []byte
	// Seed initialises the node's pseudo-random generator.
	Seed uint64
}

// NewIdentity draws an identity from the system's random generator.
func NewIdentity() (Identity, error) {
	random := make([]byte, 48)
	for {
		if _, err := rand.Read(random); err != nil {
			return Identity{}, err
		}
		id := Identity{
			Incarnation:  node.Incarnation(binary.BigEndian.Uint64(random[:8])),
			Seed:         binary.BigEndian.Uint64(random[8:16]),
			TicketSecret: random[16:48],
		}
		if id.Incarnation != 0 {
			return id, nil
		}
	}
}

// String returns the incarnation as it appears in logs, in the status and in the
// instance list.
func (i Identity) String() string { return IncarnationText(i.Incarnation) }

// IncarnationText formats an incarnation as 16 hexadecimal digits, the form used
// in logs, in the status and in the instance list.
func IncarnationText(i node.Incarnation) string { return fmt.Sprintf("%016x", uint64(i)) }
