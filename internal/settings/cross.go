package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TrustNetwork is the value of [peer] trust that accepts all peers.
const TrustNetwork = "network"

// On is the value of settings that switch something on.
const On = "on"

// crossCheck reports faults that concern more than one setting. Settings that
// are missing or faulty on their own are empty here and are skipped.
func crossCheck(s *pb.Settings) []Problem {
	var problems []Problem
	problems = append(problems, checkPair("listen", "tls_certificate", s.GetListen().GetTlsCertificate(), "tls_key", s.GetListen().GetTlsKey())...)
	problems = append(problems, checkPair("peer", "certificate", s.GetPeer().GetCertificate(), "key", s.GetPeer().GetKey())...)
	problems = append(problems, checkAuthority(s.GetPeer())...)
	problems = append(problems, checkPeerTLS(s)...)
	problems = append(problems, checkListeners(s.GetListen())...)
	problems = append(problems, checkBodies(s.GetLimits())...)
	problems = append(problems, checkGateway(s)...)
	return append(problems, checkDetection(s.GetPeer())...)
}

// checkGateway requires the addresses that a gateway answers on, and a time for
// revocations that leaves room for reading the store.
func checkGateway(s *pb.Settings) []Problem {
	gateway, listen := s.GetGateway(), s.GetListen()
	if gateway.GetMode() != On {
		return nil
	}
	var problems []Problem
	for _, key := range missingOf([][2]string{{"ready", listen.GetReady()}, {"discovery", listen.GetDiscovery()}}) {
		problems = append(problems, Problem{
			Section: "listen", Key: key, What: "the setting is missing, and [gateway] mode is on",
			Remedy: "add a line " + key + " = ADDRESS below [listen]",
		})
	}
	if apply, revoke := Duration(gateway.GetConfigApply()), Duration(gateway.GetRevocation()); apply > 0 && revoke > 0 && revoke < apply {
		problems = append(problems, Problem{
			Section: "gateway", Key: "revocation", Value: gateway.GetRevocation(), What: "less than config_apply",
			Allowed: "at least config_apply (" + gateway.GetConfigApply() + ")", Remedy: "raise revocation or lower config_apply",
		})
	}
	return problems
}

// checkBodies requires that the bound on all bodies leaves room for one.
func checkBodies(limits *pb.LimitSettings) []Problem {
	all, one := limits.GetMaxBufferedBytes(), limits.GetMaxBodyBytes()
	if all == 0 || one <= all {
		return nil
	}
	return []Problem{{
		Section: "limits", Key: "max_buffered_bytes", Value: strconv.FormatInt(all, 10), What: "less than max_body_bytes",
		Allowed: fmt.Sprintf("at least max_body_bytes = %d", one), Remedy: "raise it, or lower max_body_bytes",
	}}
}

// checkPair requires certificate and key together and that they belong together.
func checkPair(section, certKey, cert, keyKey, key string) []Problem {
	switch {
	case cert == "" && key == "":
		return nil
	case cert == "":
		return []Problem{{Section: section, Key: keyKey, Value: key, What: "given without " + certKey, Remedy: "set both or neither"}}
	case key == "":
		return []Problem{{Section: section, Key: certKey, Value: cert, What: "given without " + keyKey, Remedy: "set both or neither"}}
	}
	if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
		return []Problem{{
			Section: section, Key: certKey, Value: cert, What: "certificate and key cannot be used: " + err.Error(),
			Remedy: "give a PEM certificate and the PEM key that belongs to it",
		}}
	}
	return nil
}

func checkAuthority(peer *pb.PeerSettings) []Problem {
	if peer.GetAuthority() == "" {
		return nil
	}
	pem, err := os.ReadFile(peer.GetAuthority())
	if err == nil && x509.NewCertPool().AppendCertsFromPEM(pem) {
		return nil
	}
	return []Problem{{
		Section: "peer", Key: "authority", Value: peer.GetAuthority(), What: "holds no PEM certificate",
		Remedy: "give the certificate of the authority that signed the instance certificates",
	}}
}

// checkPeerTLS requires mutual TLS between instances unless all messages stay
// on the loopback interface, and all three files if any is given.
func checkPeerTLS(s *pb.Settings) []Problem {
	peer := s.GetPeer()
	missing := missingOf([][2]string{
		{"certificate", peer.GetCertificate()}, {"key", peer.GetKey()}, {"authority", peer.GetAuthority()},
	})
	address, err := netip.ParseAddrPort(s.GetListen().GetPeer())
	exposed := err == nil && !address.Addr().IsLoopback() && peer.GetTrust() != TrustNetwork
	if len(missing) == 0 || len(missing) == 3 && !exposed {
		return nil
	}
	what := "mutual TLS between instances needs all of certificate, key and authority"
	if exposed {
		what = "mutual TLS is required because the peer address " + s.GetListen().GetPeer() + " is not a loopback address"
	}
	return []Problem{{
		Section: "peer", Key: strings.Join(missing, ", "), What: what,
		Remedy: "set the missing keys; citrongate keys writes a set for trials",
	}}
}

func missingOf(pairs [][2]string) []string {
	var missing []string
	for _, pair := range pairs {
		if pair[1] == "" {
			missing = append(missing, pair[0])
		}
	}
	return missing
}

// checkListeners rejects two TCP listeners on one address.
func checkListeners(listen *pb.ListenSettings) []Problem {
	if listen.GetCaller() == "" || listen.GetCaller() != listen.GetAdmin() {
		return nil
	}
	return []Problem{{
		Section: "listen", Key: "admin", Value: listen.GetAdmin(), What: "the same address as caller",
		Remedy: "use another port for one of them",
	}}
}

// checkDetection rejects a dead_after in which no ping could be answered.
func checkDetection(peer *pb.PeerSettings) []Problem {
	ping, dead := Duration(peer.GetPingInterval()), Duration(peer.GetDeadAfter())
	if ping == 0 || dead == 0 || dead >= 2*ping {
		return nil
	}
	return []Problem{{
		Section: "peer", Key: "dead_after", Value: peer.GetDeadAfter(), What: "less than two ping intervals",
		Allowed: "at least twice ping_interval (" + peer.GetPingInterval() + ")", Remedy: "raise dead_after or lower ping_interval",
	}}
}

func fieldNames(message protoreflect.MessageDescriptor) string {
	fields := message.Fields()
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	return strings.Join(names, ", ")
}
