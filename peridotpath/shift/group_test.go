package shift_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// TestVolumesOneAfterTheOther: scholars send two, three and ten bound volumes at
// once, on engines for one group, while volunteers read lines. Each volume must
// be answered whole, in turn, and no line may wait for one.
func TestVolumesOneAfterTheOther(t *testing.T) {
	for _, count := range []int{2, 3, 10} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cell := newCell(t, 4, 2, holdGroups)
				defer cell.close()
				time.Sleep(10 * time.Second)
				volumes := make([]answer, count)
				var sending sync.WaitGroup
				for i := range count {
					sending.Go(func() { volumes[i] = cell.ask(i, fmt.Sprintf("v%d", i), volume, 20, 10*time.Minute) })
				}
				lines := cell.readLines(&sending)
				for _, volume := range volumes {
					is.Equal(volume.result, nil)
					is.Equal(volume.tokens, 20)
				}
				slowest := time.Duration(0)
				for _, line := range lines {
					is.Equal(line.result, nil)
					slowest = max(slowest, line.first)
				}
				t.Logf("volumes=%d last_done=%v lines=%d slowest_line=%v", count, longest(volumes), len(lines), slowest)
				is.True(slowest < 2*time.Second)
				finished := 0
				for _, fake := range cell.engines {
					finished += fake.Counts().Total.Finished
				}
				is.Equal(finished, count+len(lines)) // nothing ran to its end twice
				time.Sleep(holdGroups + time.Minute)
				for i := range cell.engines {
					is.Equal(cell.role(i), "serve")
				}
			})
		})
	}
}

// readLines sends a line a second until the volumes are done.
func (cell *cell) readLines(volumes *sync.WaitGroup) []answer {
	done := make(chan struct{})
	go func() {
		defer close(done)
		volumes.Wait()
	}()
	var lines []answer
	var mu sync.Mutex
	var sending sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-done:
			sending.Wait()
			return lines
		case <-time.After(time.Second):
		}
		sending.Go(func() {
			line := cell.ask(i, fmt.Sprintf("l%d", i), 1000, 20, 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, line)
		})
	}
}

func longest(answers []answer) time.Duration {
	var longest time.Duration
	for _, answer := range answers {
		longest = max(longest, answer.took)
	}
	return longest
}

// TestVolumeOutlivesWhatItRunsOn takes away the group's leader or a member while
// a volume is being read, or the instance that forms the group while engines
// drain for it. The scholar gets the whole answer within the time, or a coded
// failure where the answer had begun, and no engine may stay behind with memory
// set aside.
func TestVolumeOutlivesWhatItRunsOn(t *testing.T) {
	cases := map[string]struct {
		role   string // the failure comes when an engine has it
		output peridotpath.Tokens
		fail   func(cell *cell, holder int)
		want   *peridotpath.Result
	}{
		"leader dies before the first token": {"lead", 20, func(cell *cell, _ int) { cell.lose(cell.first("lead")) }, nil},
		"member dies within the answer": {
			"lead", 3000, func(cell *cell, _ int) { cell.lose(cell.first("member")) },
			&peridotpath.Result{Code: peridotpath.CodeStreamCut},
		},
		"holder of the lease dies": {"drain", 20, func(cell *cell, holder int) { cell.instances[holder].kill() }, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cell := newCell(t, 5, 2, holdGroups)
				defer cell.close()
				time.Sleep(10 * time.Second)
				holder := cell.holder()
				done := make(chan answer, 1)
				go func() { done <- cell.ask(1-holder, "v", volume, test.output, 10*time.Minute) }()
				cell.awaitRole(test.role)
				test.fail(cell, holder)
				cell.only(1 - holder)
				failed := time.Now()
				volume := <-done
				t.Logf("done %v after the failure, refused %d times", time.Since(failed), volume.refused)
				if test.want != nil {
					is.Equal(volume.result.Code, test.want.Code)
				} else {
					is.Equal(volume.result, nil)
					is.Equal(volume.tokens, int(test.output))
				}
				time.Sleep(holdGroups + 2*time.Minute)
				for i := range cell.engines {
					role := cell.role(i)
					is.True(role == "serve" || role == "gone")
				}
				is.Equal(cell.heldByLiving(), 0)
			})
		})
	}
}

// holder returns the number of the instance that holds the lease.
func (cell *cell) holder() int {
	for i, instance := range cell.instances {
		if _, held := instance.holder.Held(); held {
			return i
		}
	}
	cell.t.Fatal("nobody holds the lease")
	return 0
}

// only has callers come to one instance.
func (cell *cell) only(number int) {
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.instances = cell.instances[number : number+1]
}

// first returns the first engine with the role, or -1.
func (cell *cell) first(role string) int {
	for i := range cell.engines {
		if cell.role(i) == role {
			return i
		}
	}
	return -1
}

// awaitRole waits until an engine has the role; for a leader, until it runs a
// volume.
func (cell *cell) awaitRole(role string) {
	for {
		i := cell.first(role)
		if i >= 0 && (role != "lead" || cell.engines[i].Load().KVUsed > volume/2) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// heldByLiving returns the memory held on engines that are still there.
func (cell *cell) heldByLiving() int {
	held := 0
	for i, fake := range cell.engines {
		if cell.role(i) != "gone" {
			held += int(fake.Load().KVUsed)
		}
	}
	return held
}

// TestStandingGroupAgainstOneForEachPrompt compares the group that stays with
// one that is formed for each prompt and dissolved once the caller has had time
// to come back for it: ten volumes, one every three minutes. It keeps the reason
// for the choice true.
func TestStandingGroupAgainstOneForEachPrompt(t *testing.T) {
	mean := map[string]time.Duration{}
	for name, hold := range map[string]time.Duration{"standing": holdGroups, "for each prompt": 40 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cell := newCell(t, 4, 2, hold)
				defer cell.close()
				time.Sleep(10 * time.Second)
				for i := range 10 {
					volume := cell.ask(i, fmt.Sprintf("v%d", i), volume, 20, 5*time.Minute)
					is.Equal(volume.result, nil)
					mean[name] += volume.first / 10
					time.Sleep(3*time.Minute - volume.took)
				}
				t.Logf("mean_first_token=%v", mean[name])
			})
		})
	}
	is := is.New(t)
	is.True(mean["standing"] < mean["for each prompt"]/2)
}

// TestEnginesAreLeftAloneAtRest: a fleet without prompts beyond one engine would
// still have each of its engines read every two seconds, 750 of them in a data
// centre of the size that is designed for.
func TestEnginesAreLeftAloneAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cell := newCell(t, 4, 2, holdGroups)
		defer cell.close()
		time.Sleep(time.Minute)
		before := cell.looks.Load()
		time.Sleep(time.Minute)
		is.Equal(cell.looks.Load(), before)
		is.Equal(cell.ask(0, "v", volume, 20, 5*time.Minute).result, nil)
		is.True(cell.looks.Load() > before)
		time.Sleep(2 * holdGroups)
		after := cell.looks.Load()
		time.Sleep(time.Minute)
		is.Equal(cell.looks.Load(), after)
	})
}
