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

// visibleState returns the state of the endpoint in the list that readers see.
func visibleState(t *testing.T, members *memberList) peridotpath.State {
	t.Helper()
	recorder := httptest.NewRecorder()
	members.get(recorder, httptest.NewRequest(http.MethodGet, membership.Path, nil))
	var list membership.List
	if err := json.Unmarshal(recorder.Body.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Endpoints) == 0 {
		return stateRemoved
	}
	return list.Endpoints[0].State
}

func newMembers() *memberList {
	list := membership.List{Endpoints: []peridotpath.Endpoint{{ID: "e1", State: peridotpath.StateLive}}}
	return &memberList{readLag: 500 * time.Millisecond, list: list, versions: []listVersion{{list: list}}}
}

// A change must become visible after readLag and not before, and changes must become visible
// in the order in which they were made.
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
		is.Equal(visibleState(t, members), peridotpath.StateLive)
		time.Sleep(200 * time.Millisecond)
		is.Equal(visibleState(t, members), peridotpath.StateLeaving)
		time.Sleep(300 * time.Millisecond)
		is.Equal(visibleState(t, members), peridotpath.State(stateRemoved))
	})
}

// A flapping member must alternate between leaving and live, and be live in the end.
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
			seen = append(seen, string(visibleState(t, members)))
			time.Sleep(250 * time.Millisecond)
		}
		<-ended
		is.Equal(strings.Join(seen, " "), "leaving live leaving live live")
	})
}
