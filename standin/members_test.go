package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/membership"
)

// state reads the list as an instance does.
func state(t *testing.T, members *members) peridotpath.State {
	t.Helper()
	recorder := httptest.NewRecorder()
	members.get(recorder, httptest.NewRequest(http.MethodGet, membership.Path, nil))
	var list membership.List
	if err := json.Unmarshal(recorder.Body.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Endpoints) == 0 {
		return stateGone
	}
	return list.Endpoints[0].State
}

func newMembers() *members {
	list := membership.List{Endpoints: []peridotpath.Endpoint{{ID: "e1", State: peridotpath.StateLive}}}
	return &members{lag: 500 * time.Millisecond, list: list, seen: []reading{{list: list}}}
}

// A change shows itself after the lag and not before, and changes in a row in
// their order.
func TestMembersLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newMembers()
		change := func(state string) {
			body := strings.NewReader(`{"id":"e1","state":"` + state + `"}`)
			members.setState(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/members/state", body))
		}
		change("leaving")
		time.Sleep(300 * time.Millisecond)
		change("gone")
		is.Equal(state(t, members), peridotpath.StateLive)
		time.Sleep(200 * time.Millisecond)
		is.Equal(state(t, members), peridotpath.StateLeaving)
		time.Sleep(300 * time.Millisecond)
		is.Equal(state(t, members), peridotpath.State(stateGone))
	})
}

// A flapping member comes and goes and ends as it began.
func TestMembersFlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newMembers()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			body := strings.NewReader(`{"id":"e1","every_ms":1000,"times":2}`)
			members.flap(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/members/flap", body))
		}()
		var seen []string
		for range 5 {
			time.Sleep(750 * time.Millisecond)
			seen = append(seen, string(state(t, members)))
			time.Sleep(250 * time.Millisecond)
		}
		<-ended
		is.Equal(strings.Join(seen, " "), "leaving live leaving live live")
	})
}
