package partition

import "fmt"

// jobIDPrefixLen is the length of the partition prefix of a job ID: two hex digits and a dash.
const jobIDPrefixLen = 3

// JobID builds a job ID of the form "<partition in hex>-<random>". The ID contains the partition, so that a job is found
// without a directory lookup.
func JobID(partition int, random string) string {
	return fmt.Sprintf("%02x-%s", partition&0xff, random)
}

// PartitionForJobID parses the partition from a job ID; ok is false if the string is not a job ID.
func PartitionForJobID(id string) (partition int, ok bool) {
	if len(id) <= jobIDPrefixLen || id[jobIDPrefixLen-1] != '-' {
		return 0, false
	}
	for _, c := range id[:jobIDPrefixLen-1] {
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
