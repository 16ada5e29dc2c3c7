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

// TestConcurrentLongPrompts sends two, three and ten prompts of a million tokens at
// once to a cell with engines for one group, together with short prompts. Each long
// prompt must be answered in full, one after the other, and no short prompt may queue
// behind one.
func TestConcurrentLongPrompts(t *testing.T) {
	for _, count := range []int{2, 3, 10} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cell := newCell(t, 4, 2, groupIdleTimeout)
				defer cell.close()
				time.Sleep(10 * time.Second)
				answers := make([]answer, count)
				var sending sync.WaitGroup
				for i := range count {
					sending.Go(func() {
						answers[i] = cell.sendUntilAnswered(i, fmt.Sprintf("v%d", i), longPromptTokens, 20, 10*time.Minute)
					})
				}
				shortAnswers := cell.sendShortPrompts(&sending)
				for _, answer := range answers {
					is.Equal(answer.result, nil)
					is.Equal(answer.tokens, 20)
				}
				slowest := time.Duration(0)
				for _, answer := range shortAnswers {
					is.Equal(answer.result, nil)
					slowest = max(slowest, answer.timeToFirstToken)
				}
				t.Logf("long_prompts=%d last_done=%v short_prompts=%d slowest_short=%v", count, maxTotalTime(answers), len(shortAnswers), slowest)
				is.True(slowest < 2*time.Second)
				finished := 0
				for _, fake := range cell.engines {
					finished += fake.Counts().Total.Finished
				}
				is.Equal(finished, count+len(shortAnswers)) // no prompt was executed to its end twice
				time.Sleep(groupIdleTimeout + time.Minute)
				for i := range cell.engines {
					is.Equal(cell.duty(i), "serve")
				}
			})
		})
	}
}

// sendShortPrompts sends one short prompt a second until the long ones are answered.
func (cell *cell) sendShortPrompts(longPrompts *sync.WaitGroup) []answer {
	done := make(chan struct{})
	go func() {
		defer close(done)
		longPrompts.Wait()
	}()
	var answers []answer
	var mu sync.Mutex
	var sending sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-done:
			sending.Wait()
			return answers
		case <-time.After(time.Second):
		}
		sending.Go(func() {
			answer := cell.sendUntilAnswered(i, fmt.Sprintf("l%d", i), 1000, 20, 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
}

func maxTotalTime(answers []answer) time.Duration {
	var longest time.Duration
	for _, answer := range answers {
		longest = max(longest, answer.totalTime)
	}
	return longest
}

// TestLongPromptSurvivesFailures disconnects the group's leader or a member while a
// long prompt runs, or kills the instance that forms the group while engines drain.
// The client gets the whole answer before its deadline, or a result code if the
// answer had started, and no engine may keep memory reserved.
func TestLongPromptSurvivesFailures(t *testing.T) {
	cases := map[string]struct {
		duty   string // the failure occurs once an engine has this duty
		output peridotpath.Tokens
		fail   func(cell *cell, holder int)
		want   *peridotpath.Result
	}{
		"leader dies before the first token": {"lead", 20, func(cell *cell, _ int) { cell.disconnect(cell.firstWithDuty("lead")) }, nil},
		"member dies within the answer": {
			"lead", 3000, func(cell *cell, _ int) { cell.disconnect(cell.firstWithDuty("member")) },
			&peridotpath.Result{Code: peridotpath.CodeStreamCut},
		},
		"holder of the lease dies": {"drain", 20, func(cell *cell, holder int) { cell.instances[holder].kill() }, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cell := newCell(t, 5, 2, groupIdleTimeout)
				defer cell.close()
				time.Sleep(10 * time.Second)
				holder := cell.holder()
				done := make(chan answer, 1)
				go func() { done <- cell.sendUntilAnswered(1-holder, "v", longPromptTokens, test.output, 10*time.Minute) }()
				cell.awaitDuty(test.duty)
				test.fail(cell, holder)
				cell.useOnly(1 - holder)
				failed := time.Now()
				answer := <-done
				t.Logf("answered %v after the failure, refused %d times", time.Since(failed), answer.refusals)
				if test.want != nil {
					is.Equal(answer.result.Code, test.want.Code)
				} else {
					is.Equal(answer.result, nil)
					is.Equal(answer.tokens, int(test.output))
				}
				time.Sleep(groupIdleTimeout + 2*time.Minute)
				for i := range cell.engines {
					duty := cell.duty(i)
					is.True(duty == "serve" || duty == "unreachable")
				}
				is.Equal(cell.kvUsedByReachable(), 0)
			})
		})
	}
}

// holder returns the index of the instance that holds the lease.
func (cell *cell) holder() int {
	for i, instance := range cell.instances {
		if _, held := instance.holder.Held(); held {
			return i
		}
	}
	cell.t.Fatal("no instance holds the lease")
	return 0
}

// useOnly sends all further prompts to one instance.
func (cell *cell) useOnly(index int) {
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.instances = cell.instances[index : index+1]
}

// firstWithDuty returns the index of the first engine with the duty, or -1.
func (cell *cell) firstWithDuty(duty string) int {
	for i := range cell.engines {
		if cell.duty(i) == duty {
			return i
		}
	}
	return -1
}

// awaitDuty waits until an engine has the duty and, if it is a leader, runs a long
// prompt.
func (cell *cell) awaitDuty(duty string) {
	for {
		i := cell.firstWithDuty(duty)
		if i >= 0 && (duty != "lead" || cell.engines[i].Load().KVUsed > longPromptTokens/2) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// kvUsedByReachable returns the KV memory in use on the reachable engines.
func (cell *cell) kvUsedByReachable() int {
	held := 0
	for i, fake := range cell.engines {
		if cell.duty(i) != "unreachable" {
			held += int(fake.Load().KVUsed)
		}
	}
	return held
}

// TestPersistentGroupIsFaster compares a persistent group with one that is formed for each
// prompt and dissolved once the client has had time to retry. Ten long prompts arrive, one
// every three minutes. With the persistent group the mean time to the first token must be
// less than half, since no prompt but the first waits for a group to form.
func TestPersistentGroupIsFaster(t *testing.T) {
	mean := map[string]time.Duration{}
	for name, groupIdleTimeout := range map[string]time.Duration{"persistent": groupIdleTimeout, "for each prompt": 40 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cell := newCell(t, 4, 2, groupIdleTimeout)
				defer cell.close()
				time.Sleep(10 * time.Second)
				for i := range 10 {
					answer := cell.sendUntilAnswered(i, fmt.Sprintf("v%d", i), longPromptTokens, 20, 5*time.Minute)
					is.Equal(answer.result, nil)
					mean[name] += answer.timeToFirstToken / 10
					time.Sleep(3*time.Minute - answer.totalTime)
				}
				t.Logf("mean_first_token=%v", mean[name])
			})
		})
	}
	is := is.New(t)
	is.True(mean["persistent"] < mean["for each prompt"]/2)
}

// TestNoEngineReadsWithoutDemand checks that engines are not read while there is neither
// demand nor a group. Otherwise each engine would be read every two seconds, and the
// largest data centre that the system is designed for has 750 engines.
func TestNoEngineReadsWithoutDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cell := newCell(t, 4, 2, groupIdleTimeout)
		defer cell.close()
		time.Sleep(time.Minute)
		readsAtRest := cell.engineReads.Load()
		time.Sleep(time.Minute)
		is.Equal(cell.engineReads.Load(), readsAtRest)
		is.Equal(cell.sendUntilAnswered(0, "v", longPromptTokens, 20, 5*time.Minute).result, nil)
		is.True(cell.engineReads.Load() > readsAtRest)
		time.Sleep(2 * groupIdleTimeout)
		readsAfterGroup := cell.engineReads.Load()
		time.Sleep(time.Minute)
		is.Equal(cell.engineReads.Load(), readsAfterGroup)
	})
}
