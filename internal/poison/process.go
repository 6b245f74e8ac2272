package poison

import "strings"

// ProcessName returns the name of an endpoint's process by the endpoint's name and the ID of the process.
func ProcessName(endpoint, id string) string { return endpoint + "/" + id }

// SplitProcessName returns the parts of a name that ProcessName returned.
func SplitProcessName(name string) (endpoint, id string) {
	endpoint, id, _ = strings.Cut(name, "/")
	return endpoint, id
}
