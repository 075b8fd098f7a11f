package partition

import "fmt"

// jobIDPrefix is the length of the partition in a job id: two hex digits and a dash.
const jobIDPrefix = 3

// JobID builds a job id. Ids carry their partition, so that a job is found without a directory:
// "<partition in hex>-<random>".
func JobID(partition int, random string) string {
	return fmt.Sprintf("%02x-%s", partition&0xff, random)
}

// OfJob parses the partition from a job id; ok is false for other strings.
func OfJob(id string) (partition int, ok bool) {
	if len(id) <= jobIDPrefix || id[jobIDPrefix-1] != '-' {
		return 0, false
	}
	for _, c := range id[:jobIDPrefix-1] {
		switch {
		case c >= '0' && c <= '9':
			partition = partition<<4 | int(c-'0')
		case c >= 'a' && c <= 'f':
			partition = partition<<4 | int(c-'a'+10)
		default:
			return 0, false
		}
	}
	return partition, true
}
