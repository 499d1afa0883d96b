package settings

import (
	"math"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?$`)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// parseValue converts the text of one setting to its type and checks it against
// the rule.
func parseValue(k key, text string) (protoreflect.Value, *Problem) {
	var value protoreflect.Value
	what := ""
	switch k.field.Kind() {
	case protoreflect.Int64Kind:
		value, what = parseInteger(k, text)
	case protoreflect.DoubleKind:
		value, what = parseNumber(k, text)
	default:
		value, what = protoreflect.ValueOfString(text), checkText(k, text)
	}
	if what == "" {
		return value, nil
	}
	return value, &Problem{
		Section: k.sectionName(), Key: k.name(), Value: text, What: what,
		Allowed: k.allowed(), Remedy: "correct the value" + defaultHint(k),
	}
}

func defaultHint(k key) string {
	if k.rule.GetDefault() == "" {
		return ""
	}
	return ", or remove the line to use " + k.rule.GetDefault()
}

func parseInteger(k key, text string) (protoreflect.Value, string) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return protoreflect.Value{}, "not an integer"
	}
	low, _ := strconv.ParseInt(k.rule.GetMin(), 10, 64)
	high, err := strconv.ParseInt(k.rule.GetMax(), 10, 64)
	if err != nil {
		high = math.MaxInt64
	}
	return protoreflect.ValueOfInt64(n), rangeProblem(n < low, n > high)
}

func parseNumber(k key, text string) (protoreflect.Value, string) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return protoreflect.Value{}, "not a number"
	}
	low, _ := strconv.ParseFloat(k.rule.GetMin(), 64)
	high, err := strconv.ParseFloat(k.rule.GetMax(), 64)
	if err != nil {
		high = math.MaxFloat64
	}
	return protoreflect.ValueOfFloat64(n), rangeProblem(n < low, n > high)
}

// rangeProblem describes which bound a value exceeds; "" if it is in range.
func rangeProblem(below, above bool) string {
	switch {
	case below:
		return "below the smallest allowed value"
	case above:
		return "above the largest allowed value"
	}
	return ""
}

// checkText describes what is wrong with the value of a text setting; "" if it is valid.
func checkText(k key, text string) string {
	switch format := k.rule.GetFormat(); format {
	case "":
		return ""
	case "address":
		return checkAddress(text)
	case "addresses":
		for _, one := range strings.Split(text, ",") {
			if what := checkAddress(strings.TrimSpace(one)); what != "" {
				return what
			}
		}
		return ""
	case "file":
		return checkFile(text)
	case "name":
		if !namePattern.MatchString(text) {
			return "not a name"
		}
		return ""
	case "duration":
		return checkDuration(k, text)
	case "sha256":
		if !digestPattern.MatchString(text) {
			return "not a SHA-256 digest"
		}
		return ""
	default:
		if !slices.Contains(strings.Split(format, "|"), text) {
			return "not one of the choices"
		}
		return ""
	}
}

// checkAddress accepts only addresses that peers and callers can connect to, since
// an instance advertises the addresses in its settings.
func checkAddress(text string) string {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return "not an IP address and port"
	case address.Port() == 0:
		return "port 0 cannot be advertised to others"
	case address.Addr().IsUnspecified():
		return "an unspecified address cannot be advertised to others"
	case address.Addr().IsMulticast():
		return "a multicast address cannot be used"
	}
	return ""
}

func checkFile(path string) string {
	file, err := os.Open(path)
	if err != nil {
		return "cannot be read: " + err.Error()
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil || info.IsDir() {
		return "not a file"
	}
	return ""
}

func checkDuration(k key, text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return "not a duration"
	}
	high := Duration(k.rule.GetMax())
	return rangeProblem(d < Duration(k.rule.GetMin()), high > 0 && d > high)
}
