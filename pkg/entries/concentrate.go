package entries

// sparseLoad is the mean load up to which callers are directed to fewer hosts of a place.
// At this load two requests rarely meet on a host.
const sparseLoad = 0.1

// Concentrate drops hosts of places with little traffic, so that those that remain, at
// least enoughLocal a place, have a mean load of up to sparseLoad. Without it, each of
// many hosts gets a request every few seconds: targets have closed its connections by
// then, and a fan-out opens one to each shard. All hosts keep the same ones as far as
// they know the same fleet: those whose names have the highest hashes. Places with a
// host of unknown capacity keep all hosts. It passes over hosts that are not reachable.
func Concentrate(hosts []Host) []Host {
	places := map[string][]Host{}
	var order []string
	for _, h := range FilterReachable(hosts) {
		if places[h.Place] == nil {
			order = append(order, h.Place)
		}
		places[h.Place] = append(places[h.Place], h)
	}
	kept := make([]Host, 0, len(hosts))
	for _, place := range order {
		kept = append(kept, concentratePlace(places[place])...)
	}
	return kept
}

// concentratePlace is Concentrate for the reachable hosts of one place.
func concentratePlace(hosts []Host) []Host {
	used := 0.0
	for _, h := range hosts {
		if h.Capacity <= 0 {
			return hosts
		}
		used += h.Load * h.Capacity
	}
	sortByHash(hosts)
	return hosts[:countNeeded(hosts, used, sparseLoad, 0, 0)]
}
