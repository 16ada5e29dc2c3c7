package main

import (
	"context"
	"fmt"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/strictjson"
)

const checkUsage = `check FILE
  Checks a file of profiles and customers without calling anything, and prints
  every fault with its path. FILE has the form {"profiles": [...],
  "customers": [...]}. What can clash with items that FILE does not name shows
  only when it is applied.

`

func check(console *console) *command {
	return &command{
		console: console, name: "check", synopsis: "checks a file of profiles and customers", usage: checkUsage,
		run: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			file, err := loadFile(console, args[0])
			if err != nil {
				return err
			}
			counts := struct {
				Profiles  int `json:"profiles"`
				Customers int `json:"customers"`
			}{len(file.Profiles), len(file.Customers)}
			if console.json {
				console.showJSON(counts)
				return nil
			}
			fmt.Fprintf(console.out, "no faults; profiles: %d, customers: %d\n", counts.Profiles, counts.Customers)
			return nil
		},
	}
}

// loadFile reads a file of profiles and customers and fills in defaults. The error
// lists every fault.
func loadFile(console *console, path string) (*peridotpath.Config, error) {
	text, err := console.read(path)
	if err != nil {
		return nil, err
	}
	config := &peridotpath.Config{}
	faults := strictjson.Decode(text, config, strictjson.AllowMissing)
	config.Defaults()
	return config, faults.Merge(config.Validate()).OrNil()
}
