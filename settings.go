package ashwood

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// check tells what is impossible about settings.
func (set Settings) validate() error {
	if len(set.Kinds) == 0 || len(set.Classes) == 0 {
		return errors.New("ashwood: settings name no kind of server or no class of requests")
	}
	for _, k := range set.Kinds {
		if k.Role < RoleRead || k.Role > RoleMixed {
			return fmt.Errorf("ashwood: kind %q has no role", k.Name)
		}
	}
	for _, c := range set.Classes {
		if c.Deadline <= 0 || c.Effect < Pure || c.Effect > SideEffect {
			return fmt.Errorf("ashwood: class %q lacks a deadline or an effect", c.Name)
		}
	}
	r := set.Rules
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"the number of nodes", float64(set.Nodes)}, {"the attempt cap", float64(set.Limits.MaxAttempts)},
		{"the fall multiple", r.SlowStartMultiple}, {"the cold share", r.SlowStartCapacity},
		{"the release time", float64(r.ReleaseTimeout)}, {"the fall window", float64(r.SlowStartWindow)},
	} {
		if f.value < 0 {
			return fmt.Errorf("ashwood: %s is below zero", f.name)
		}
	}
	return nil
}

// withDefaults gives a copy whose figures left at zero have the values that New names.
func (set Settings) withDefaults() Settings {
	set.Nodes = max(set.Nodes, 1)
	set.Classes = slices.Clone(set.Classes)
	for _, d := range []*time.Duration{&set.Rules.SlowStartWindow, &set.Rules.SlowStartDuration, &set.Rules.ReleaseTimeout} {
		if *d <= 0 {
			*d = time.Second
		}
	}
	if !set.Limits.RetryAfter {
		set.Limits.MaxRetryAfter = 0
	}
	return set
}
