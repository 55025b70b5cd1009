package configsync

import (
	"strconv"

	"github.com/lacewingyard/lacewingyard/pkg/ownership"
)

// WatchersPerPlace is the number of hosts of a place that watch the configuration
// service.
const WatchersPerPlace = 2

// Watchers returns the ordinals of the hosts of a place that watch the service
// while a version is in force, followed by the substitute that watches while one
// of them has not been heard from recently. The watchers differ from version to
// version: two fixed hosts that read every change, a document of 0.8 MB each minute,
// would exceed the control traffic budget of 4 KB/s.
func Watchers(place string, ordinals int, version uint64) []int {
	return ownership.Owners("watch/"+place+"/"+strconv.FormatUint(version, 10), ordinals, WatchersPerPlace+1)
}

// Watches reports whether the host with the given ordinal of a place with that
// many ordinals watches the service while a version is in force. heard reports
// whether the host of the place with another ordinal was heard from recently.
func Watches(place string, ordinal, ordinals int, version uint64, heard func(ordinal int) bool) bool {
	order := Watchers(place, ordinals, version)
	switch rank := ownership.Rank(order, ordinal); {
	case rank < 0:
		return false
	case rank < WatchersPerPlace:
		return true
	}
	for _, watcher := range order[:WatchersPerPlace] {
		if !heard(watcher) {
			return true
		}
	}
	return false
}
