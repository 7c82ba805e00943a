package fleet

import (
	"maps"
	"slices"
	"strconv"
)

// The kind and the key of data centre sections.
const (
	kindDataCentre = "data_centre"
	keyEvacuated   = "evacuated"
)

// IsEvacuated reports whether targets of a data centre get no work.
func (c *Config) IsEvacuated(dataCentre string) bool {
	_, found := slices.BinarySearch(c.Evacuated, dataCentre)
	return found
}

// WithEvacuation returns the configuration with a data centre evacuated or not.
func (c *Config) WithEvacuation(dataCentre string, evacuated bool) (*Config, error) {
	sections := maps.Clone(c.sections)
	name := SectionName(kindDataCentre, dataCentre)
	if evacuated {
		sections[name] = section{keyEvacuated: strconv.FormatBool(true)}
	} else {
		delete(sections, name)
	}
	return build(sections)
}
