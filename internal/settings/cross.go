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

// TrustNetwork is the value of [peer] trust that accepts all peers that can reach
// the peer address, without certificates.
const TrustNetwork = "network"

// On is the value that enables a feature, such as [gateway] mode.
const On = "on"

// checkAcrossSettings checks the rules that concern more than one setting.
// Settings that are missing or invalid on their own are empty here and are skipped.
func checkAcrossSettings(s *pb.Settings) []Problem {
	var problems []Problem
	problems = append(problems, checkCertificatePair("listen", "tls_certificate", s.GetListen().GetTlsCertificate(), "tls_key", s.GetListen().GetTlsKey())...)
	problems = append(problems, checkCertificatePair("peer", "certificate", s.GetPeer().GetCertificate(), "key", s.GetPeer().GetKey())...)
	problems = append(problems, checkAuthority(s.GetPeer())...)
	problems = append(problems, checkPeerTLS(s)...)
	problems = append(problems, checkListeners(s.GetListen())...)
	problems = append(problems, checkBufferedBodies(s.GetLimits())...)
	problems = append(problems, checkGateway(s)...)
	problems = append(problems, checkRollouts(s)...)
	return append(problems, checkFailureDetection(s.GetPeer())...)
}

// checkGateway requires, in gateway mode, the addresses for readiness and
// discovery, and a revocation time of at least config_apply, which leaves time to
// read the changed configuration from the store.
func checkGateway(s *pb.Settings) []Problem {
	gateway, listen := s.GetGateway(), s.GetListen()
	if gateway.GetMode() != On {
		return nil
	}
	var problems []Problem
	for _, key := range missingKeys([][2]string{{"ready", listen.GetReady()}, {"discovery", listen.GetDiscovery()}}) {
		problems = append(problems, Problem{
			Section: "listen", Key: key, What: "the setting is missing, and [gateway] mode is on",
			Remedy: "add a line " + key + " = ADDRESS below [listen]",
		})
	}
	problems = append(problems, checkAnswerBuffer(gateway)...)
	if apply, revoke := Duration(gateway.GetConfigApply()), Duration(gateway.GetRevocation()); apply > 0 && revoke > 0 && revoke < apply {
		problems = append(problems, Problem{
			Section: "gateway", Key: "revocation", Value: gateway.GetRevocation(), What: "less than config_apply",
			Allowed: "at least config_apply (" + gateway.GetConfigApply() + ")", Remedy: "raise revocation or lower config_apply",
		})
	}
	return problems
}

// checkRollouts requires, for rollouts, gateway mode, since only a gateway reads orders
// from the store, and a rollout_rollback of at least owner_timeout: until then an
// instance still waits for a pool's owner that has failed.
func checkRollouts(s *pb.Settings) []Problem {
	gateway := s.GetGateway()
	if gateway.GetRolloutExposeShare() == 0 {
		return nil
	}
	var problems []Problem
	if gateway.GetMode() != On {
		problems = append(problems, Problem{
			Section: "gateway", Key: "rollout_expose_share", Value: strconv.FormatFloat(gateway.GetRolloutExposeShare(), 'g', -1, 64),
			What: "rollouts need a gateway, and mode is off", Remedy: "set mode = on below [gateway], or remove rollout_expose_share",
		})
	}
	timeout := s.GetScheduler().GetOwnerTimeout()
	if rollback := Duration(gateway.GetRolloutRollback()); rollback > 0 && rollback < Duration(timeout) {
		problems = append(problems, Problem{
			Section: "gateway", Key: "rollout_rollback", Value: gateway.GetRolloutRollback(), What: "less than [scheduler] owner_timeout",
			Allowed: "at least owner_timeout (" + timeout + ")", Remedy: "raise rollout_rollback or lower owner_timeout",
		})
	}
	return problems
}

const (
	// answerBufferFraction is the fraction of memory_mb that answer_buffer_mb is by default, and
	// maxAnswerBufferFraction the largest allowed: request bodies may take 0.25 of the memory,
	// the process itself some 20 MB, and the garbage collector needs room beside them.
	answerBufferFraction    = 0.2
	maxAnswerBufferFraction = 0.4
)

// AnswerBufferMB is the memory for answers that callers have not read, in MiB.
func AnswerBufferMB(gateway *pb.GatewaySettings) float64 {
	if gateway == nil || gateway.AnswerBufferMb == nil {
		return gateway.GetMemoryMb() * answerBufferFraction
	}
	return gateway.GetAnswerBufferMb()
}

// checkAnswerBuffer requires that answers that are not read leave memory for everything else.
func checkAnswerBuffer(gateway *pb.GatewaySettings) []Problem {
	limit := gateway.GetMemoryMb() * maxAnswerBufferFraction
	if gateway.GetMemoryMb() == 0 || gateway.GetAnswerBufferMb() <= limit {
		return nil
	}
	return []Problem{{
		Section: "gateway", Key: "answer_buffer_mb", Value: fmt.Sprint(gateway.GetAnswerBufferMb()),
		What:    fmt.Sprintf("more than %v of memory_mb", maxAnswerBufferFraction),
		Allowed: fmt.Sprintf("at most %.4g with memory_mb = %v", limit, gateway.GetMemoryMb()), Remedy: "lower it, or remove the line to use the default",
	}}
}

// checkBufferedBodies requires that the limit on all buffered bodies admits one
// body of the maximum size.
func checkBufferedBodies(limits *pb.LimitSettings) []Problem {
	all, one := limits.GetMaxBufferedBytes(), limits.GetMaxBodyBytes()
	if all == 0 || one <= all {
		return nil
	}
	return []Problem{{
		Section: "limits", Key: "max_buffered_bytes", Value: strconv.FormatInt(all, 10), What: "less than max_body_bytes",
		Allowed: fmt.Sprintf("at least max_body_bytes = %d", one), Remedy: "raise it, or lower max_body_bytes",
	}}
}

// checkCertificatePair requires that certificate and key are both set or both not
// set, and that the key belongs to the certificate.
func checkCertificatePair(section, certSetting, certFile, keySetting, keyFile string) []Problem {
	switch {
	case certFile == "" && keyFile == "":
		return nil
	case certFile == "":
		return []Problem{{Section: section, Key: keySetting, Value: keyFile, What: "given without " + certSetting, Remedy: "set both or neither"}}
	case keyFile == "":
		return []Problem{{Section: section, Key: certSetting, Value: certFile, What: "given without " + keySetting, Remedy: "set both or neither"}}
	}
	if _, err := tls.LoadX509KeyPair(certFile, keyFile); err != nil {
		return []Problem{{
			Section: section, Key: certSetting, Value: certFile, What: "certificate and key cannot be used: " + err.Error(),
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

// checkPeerTLS requires mutual TLS between instances unless the peer address is a
// loopback address or [peer] trust is network, and all three files if any is set.
func checkPeerTLS(s *pb.Settings) []Problem {
	peer := s.GetPeer()
	missing := missingKeys([][2]string{
		{"certificate", peer.GetCertificate()}, {"key", peer.GetKey()}, {"authority", peer.GetAuthority()},
	})
	address, err := netip.ParseAddrPort(s.GetListen().GetPeer())
	requireTLS := err == nil && !address.Addr().IsLoopback() && peer.GetTrust() != TrustNetwork
	if len(missing) == 0 || len(missing) == 3 && !requireTLS {
		return nil
	}
	what := "mutual TLS between instances needs all of certificate, key and authority"
	if requireTLS {
		what = "mutual TLS is required because the peer address " + s.GetListen().GetPeer() + " is not a loopback address"
	}
	return []Problem{{
		Section: "peer", Key: strings.Join(missing, ", "), What: what,
		Remedy: "set the missing keys; citrongate keys writes a set for trials",
	}}
}

func missingKeys(pairs [][2]string) []string {
	var missing []string
	for _, pair := range pairs {
		if pair[1] == "" {
			missing = append(missing, pair[0])
		}
	}
	return missing
}

// checkListeners rejects the same TCP address for callers and administration.
func checkListeners(listen *pb.ListenSettings) []Problem {
	if listen.GetCaller() == "" || listen.GetCaller() != listen.GetAdmin() {
		return nil
	}
	return []Problem{{
		Section: "listen", Key: "admin", Value: listen.GetAdmin(), What: "the same address as caller",
		Remedy: "use another port for one of them",
	}}
}

// checkFailureDetection rejects a dead_after of less than two ping intervals, in
// which no ping could be answered.
func checkFailureDetection(peer *pb.PeerSettings) []Problem {
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
