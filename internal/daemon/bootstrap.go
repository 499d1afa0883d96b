package daemon

import (
	"strings"

	"github.com/joomcode/errorx"

	"github.com/citrongate/citrongate/internal/httpfront"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Errors is the namespace of errors of this package.
var Errors = errorx.NewNamespace("daemon")

// ErrSettings means that a setting is not usable.
var ErrSettings = Errors.NewType("settings")

func checkBootstrap(s *pb.Settings) error {
	digest := s.GetBootstrap().GetOperatorTokenSha256()
	if _, ok := httpfront.ParseDigest(digest); digest != "" && !ok {
		return ErrSettings.New("[bootstrap] operator_token_sha256 is not 64 hexadecimal digits; set it to the output of sha256sum for the token")
	}
	return nil
}

func splitCommaList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
