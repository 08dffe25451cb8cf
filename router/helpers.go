package router

import "math"

// hash64 mixes the bits of x with the finalizer of splitmix64.
func hash64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// decay is the weight left after an exponential decay that falls to 1/e in each period.
func decay(since, period Time) float64 { return math.Exp(-float64(since) / float64(period)) }
