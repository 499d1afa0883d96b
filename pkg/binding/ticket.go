package binding

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"
)

const (
	// ticketPrefix marks keys that carry a ticket and contains the format version.
	ticketPrefix = "cgt1_"
	macBytes     = 16
	ticketBytes  = 3*8 + macBytes
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
)

// ticketEncoding yields only characters that are allowed in an HTTP header
// token. Strict decoding ensures that each ticket has exactly one encoding.
var ticketEncoding = base64.RawURLEncoding.Strict()

// ticket authorises new idempotency keys of the form <ticket>.<suffix> until it
// expires. Its home, the incarnation that issued it, runs the calls with these keys.
type ticket struct {
	incarnation, number uint64
	// expiry is a reading of the home's monotonic clock, in whole milliseconds.
	expiry time.Duration
	mac    [macBytes]byte
}

func (t *ticket) payload() []byte {
	out := make([]byte, 0, ticketBytes)
	out = binary.BigEndian.AppendUint64(out, t.incarnation)
	out = binary.BigEndian.AppendUint64(out, t.number)
	return binary.BigEndian.AppendUint64(out, uint64(t.expiry.Milliseconds()))
}

func (t *ticket) sign(key []byte) {
	t.mac = t.computeMAC(key)
}

func (t *ticket) verify(key []byte) bool {
	want := t.computeMAC(key)
	return hmac.Equal(want[:], t.mac[:])
}

func (t *ticket) computeMAC(key []byte) (mac [macBytes]byte) {
	h := hmac.New(sha256.New, key)
	h.Write(t.payload())
	copy(mac[:], h.Sum(nil))
	return mac
}

func (t *ticket) encode() string {
	return ticketPrefix + ticketEncoding.EncodeToString(append(t.payload(), t.mac[:]...))
}

// parseTicket is the inverse of encode; it does not check the MAC.
func parseTicket(text string) (ticket, bool) {
	encoded, ok := strings.CutPrefix(text, ticketPrefix)
	if !ok || len(encoded) != ticketEncoding.EncodedLen(ticketBytes) {
		return ticket{}, false
	}
	data, err := ticketEncoding.DecodeString(encoded)
	if err != nil {
		return ticket{}, false
	}
	ms := binary.BigEndian.Uint64(data[16:])
	if ms > uint64(1<<63-1)/uint64(time.Millisecond) {
		return ticket{}, false
	}
	t := ticket{
		incarnation: binary.BigEndian.Uint64(data),
		number:      binary.BigEndian.Uint64(data[8:]),
		expiry:      time.Duration(ms) * time.Millisecond,
	}
	copy(t.mac[:], data[24:])
	return t, true
}

// KeyType tells how a key is bound to the instance that runs it.
type KeyType uint8

// Types of keys.
const (
	// KeyMalformed is a key that starts like a ticket but is not one, is empty, is
	// longer than MaxKeyBytes or contains other than visible ASCII characters. No
	// call with it ever runs.
	KeyMalformed KeyType = iota + 1
	// KeyTicket is a key that carries a ticket; only the ticket's home may run it.
	KeyTicket
	// KeyClaimed is a key without a ticket, which needs a claim in the store.
	KeyClaimed
)

// Classify determines from the text of a key alone how it is bound. For a ticket it
// also returns the incarnation of the ticket's home.
func Classify(key string) (t KeyType, home uint64) {
	kind, parsed := classify(key)
	return kind, parsed.incarnation
}

func classify(key string) (KeyType, ticket) {
	if key == "" || len(key) > MaxKeyBytes {
		return KeyMalformed, ticket{}
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return KeyMalformed, ticket{}
		}
	}
	if !strings.HasPrefix(key, ticketPrefix) {
		return KeyClaimed, ticket{}
	}
	text, suffix, _ := strings.Cut(key, ".")
	parsed, ok := parseTicket(text)
	if !ok || suffix == "" {
		return KeyMalformed, ticket{}
	}
	return KeyTicket, parsed
}
