package caller

import (
	"encoding/json"
	"time"

	"peridotpath.example/peridotpath"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the names that a request may have as model: profiles and their aliases.
func (server *Server) listModels(exchange *exchange) *peridotpath.Result {
	// An unread body would delay the answer.
	_, release, result := server.readBody(exchange, time.Time{})
	if result != nil {
		return result
	}
	release()
	list := modelList{Object: "list", Data: []model{}}
	for _, profile := range exchange.config.Profiles {
		for _, name := range append([]string{string(profile.Name)}, profile.Aliases...) {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: string(profile.Service)})
		}
	}
	exchange.answerBegun = true
	exchange.writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(exchange.writer).Encode(list); err != nil {
		return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
	}
	return nil
}
