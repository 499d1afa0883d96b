package configstate

import (
	"github.com/joomcode/errorx"
	"k8s.io/apimachinery/pkg/labels"
)

// Bounds of selectors and labels.
const (
	// MaxSelectorBytes bounds the text of one selector.
	MaxSelectorBytes = 1024
	// MaxRequirements bounds the requirements of one selector.
	MaxRequirements = 32
	// MaxLabels bounds the labels of one object.
	MaxLabels = 64
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("configstate").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrSelector is the type of errors of ParseSelector.
var ErrSelector = Errors.NewType("selector")

// ParseSelector parses a label selector and enforces MaxSelectorBytes and
// MaxRequirements. The empty selector matches everything.
func ParseSelector(text string) (labels.Selector, error) {
	if len(text) > MaxSelectorBytes {
		return nil, ErrSelector.New("the selector has %d bytes; shorten it to at most %d", len(text), MaxSelectorBytes)
	}
	selector, err := labels.Parse(text)
	if err != nil {
		return nil, ErrSelector.New("cannot parse the selector: %v; write for example \"team=desk,region in (a,b)\"", err)
	}
	if requirements, _ := selector.Requirements(); len(requirements) > MaxRequirements {
		return nil, ErrSelector.New("the selector has %d requirements; reduce it to at most %d", len(requirements), MaxRequirements)
	}
	return selector, nil
}
