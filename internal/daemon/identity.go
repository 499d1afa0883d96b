package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Errors is the namespace of errors of this package.
var Errors = errorx.NewNamespace("daemon")

// ErrSettings means that a setting can not be used.
var ErrSettings = Errors.NewType("settings")

// identity is drawn anew at each start.
type identity struct {
	incarnation  node.Incarnation
	ticketSecret []byte
	seed         uint64
}

// newIdentity draws from the system's random generator.
func newIdentity() (identity, error) {
	raw := make([]byte, 48)
	for {
		if _, err := rand.Read(raw); err != nil {
			return identity{}, err
		}
		id := identity{
			incarnation:  node.Incarnation(binary.BigEndian.Uint64(raw[:8])),
			seed:         binary.BigEndian.Uint64(raw[8:16]),
			ticketSecret: raw[16:48],
		}
		if id.incarnation != 0 {
			return id, nil
		}
	}
}

// String is the incarnation as it appears in logs, status and the instance list.
func (i identity) String() string { return incarnationText(i.incarnation) }

func incarnationText(i node.Incarnation) string { return fmt.Sprintf("%016x", uint64(i)) }

func checkBootstrap(s *pb.Settings) error {
	digest := s.GetBootstrap().GetOperatorTokenSha256()
	if _, ok := httpfront.ParseDigest(digest); digest != "" && !ok {
		return ErrSettings.New("[bootstrap] operator_token_sha256 is not 64 hexadecimal digits; set it to the output of sha256sum for the token")
	}
	return nil
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
