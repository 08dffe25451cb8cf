package router

import "math"

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// fade is what is left of 1 after a time in which it falls to a third over and over.
func fade(since, over Time) float64 { return math.Exp(-float64(since) / float64(over)) }
