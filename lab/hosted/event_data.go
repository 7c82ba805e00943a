package hosted

import (
	"fmt"
	"slices"
	"strings"
)

// EventData returns the data of event n of a request at a runner of DefaultVersion.
func EventData(requestID string, n int) string { return fmt.Sprintf("%s piece %d", requestID, n) }

// versionMark precedes the version in the data of events of other versions.
const versionMark = " by "

// eventData returns the data of event n of a request at a runner of a version.
func eventData(requestID string, n int, version string) string {
	if version == DefaultVersion {
		return EventData(requestID, n)
	}
	return EventData(requestID, n) + versionMark + version
}

// VersionOfEvent returns the version of the runner that wrote an event.
func VersionOfEvent(data string) string {
	if _, version, marked := strings.Cut(data, versionMark); marked {
		return version
	}
	return DefaultVersion
}

// VersionsOfText returns the versions of the runners that wrote the events of a text, each
// once, in the order of their first events.
func VersionsOfText(text string) []string {
	var versions []string
	for _, line := range strings.Split(text, "\n") {
		if version := VersionOfEvent(line); !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// Text returns the complete text of a request's answer, with the events joined
// as in a batch result.
func (r *Runner) Text(requestID string) string { return textAt(requestID, r.events, r.Version()) }

func textAt(requestID string, events int, version string) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, eventData(requestID, n, version))
	}
	return strings.Join(lines, "\n")
}

// IsWholeText reports whether a text is the complete answer to a request at runners of one
// version that answer with a number of events.
func IsWholeText(text, requestID string, events int) bool {
	return text == textAt(requestID, events, VersionsOfText(text)[0])
}
