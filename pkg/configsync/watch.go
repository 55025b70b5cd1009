package configsync

import "github.com/lacewingyard/lacewingyard/pkg/ownership"

// WatchersPerPlace is the number of hosts of a place that watch the service.
const WatchersPerPlace = 2

// Watchers returns the ordinals of a place that watch the service, and after
// them the substitute that watches while one of them is not heard from.
func Watchers(place string, ordinals int) []int {
	return ownership.Owners("watch/"+place, ordinals, WatchersPerPlace+1)
}

// Watches reports whether the host with an ordinal watches the service. heard
// says whether a host of the place with another ordinal was heard recently.
func Watches(place string, ordinal, ordinals int, heard func(ordinal int) bool) bool {
	order := Watchers(place, ordinals)
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
