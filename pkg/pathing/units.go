package pathing

import "time"

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
