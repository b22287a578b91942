//go:build !race

package model

const raceShare = 1
