package config

// ChangeID names one change of one operator. A repeat of the same change bears
// the same id, so that it takes effect once.
type ChangeID string
