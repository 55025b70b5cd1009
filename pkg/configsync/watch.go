package configsync

import (
	"strconv"

	"github.com/lacewingyard/lacewingyard/pkg/ownership"
)

// WatchersPerPlace is the number of hosts of a place that watch the service.
const WatchersPerPlace = 2

// Watchers returns the ordinals of a place that watch the service while a version
// is in force, and after them the substitute that watches while one of them is
// not heard from. Each version has others: two hosts that read every change, a
// document of 0.8 MB each minute, would exceed the control budget of 4 KB/s.
func Watchers(place string, ordinals int, version uint64) []int {
	return ownership.Owners("watch/"+place+"/"+strconv.FormatUint(version, 10), ordinals, WatchersPerPlace+1)
}

// Watches reports whether the host with an ordinal watches the service while a
// version is in force. heard says
// whether a host of the place with another ordinal was heard recently.
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
