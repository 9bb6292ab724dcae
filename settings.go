package ashwood

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// validate returns an error if the settings are incomplete or out of range.
func (s Settings) validate() error {
	if len(s.Kinds) == 0 || len(s.Classes) == 0 {
		return errors.New("ashwood: settings need at least one kind of server and one class of requests")
	}
	for _, kind := range s.Kinds {
		if kind.Role < RolePrefill || kind.Role > RoleMixed {
			return fmt.Errorf("ashwood: kind %q has no role", kind.Name)
		}
	}
	for _, class := range s.Classes {
		if class.Deadline <= 0 || class.Effect < Pure || class.Effect > SideEffect {
			return fmt.Errorf("ashwood: class %q has no deadline or no effect", class.Name)
		}
	}
	rules := s.Rules
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"the number of nodes", float64(s.Nodes)}, {"the attempt limit", float64(s.Limits.MaxAttempts)},
		{"the slow-start multiple", rules.SlowStartMultiple}, {"the slow-start capacity", rules.SlowStartCapacity},
		{"the release timeout", float64(rules.ReleaseTimeout)}, {"the slow-start window", float64(rules.SlowStartWindow)},
	} {
		if field.value < 0 {
			return fmt.Errorf("ashwood: %s is negative", field.name)
		}
	}
	return nil
}

// withDefaults returns a copy in which values left at zero have the defaults that New documents.
func (s Settings) withDefaults() Settings {
	s.Nodes = max(s.Nodes, 1)
	s.Classes = slices.Clone(s.Classes)
	for _, value := range []*time.Duration{&s.Rules.SlowStartWindow, &s.Rules.SlowStartDuration, &s.Rules.ReleaseTimeout} {
		if *value <= 0 {
			*value = time.Second
		}
	}
	if !s.Limits.RetryAfter {
		s.Limits.MaxRetryAfter = 0
	}
	return s
}
