package placement

import "time"

const (
	// roomReady is how soon an engine must be able to read for a short prompt to be
	// on time there: half of the usual aim of short prompts.
	roomReady = 150 * time.Millisecond
	// shortWrite is about how long a short answer is written.
	shortWrite = 1700 * time.Millisecond
)

// room is what engines that read no long prompt have left for short ones.
type room struct {
	free, writers int
}

// room adds up all engines.
func (around *surroundings) room() room {
	var all room
	for _, reader := range around.readers {
		all.free += reader.places()
		all.writers += reader.load.Writers
	}
	return all
}

// less takes an engine out.
func (room *room) less(reader *option) {
	room.free -= reader.places()
	room.writers -= reader.load.Writers
}

// places is how many short prompts more the engine could take at once, none while
// it reads for too long for them to be on time.
func (option *option) places() int {
	if option.ready > roomReady {
		return 0
	}
	return max(option.slots-option.load.Taken(), 0)
}

// crowd adds to the plan what short prompts lose that will come while it is read
// and find no engine that does not read.
//
// The load that this is made for is the moment after all instances have started
// anew, when nobody writes yet and everybody comes back: a long prompt harmed nobody,
// was spread over all engines, and the short ones that came next waited until it was
// read, though it had time enough for half as many engines.
//
// A place is reckoned as worth 1, which a short prompt of the usual length is.
func (plan *Plan) crowd(arrivals float64, left room) {
	span := plan.FirstEvent.Seconds()
	places := float64(left.free) + float64(left.writers)*span/shortWrite.Seconds()
	lost := LateLoss * max(0, arrivals*span-places)
	plan.Harm += lost
	plan.Loss += lost
}
