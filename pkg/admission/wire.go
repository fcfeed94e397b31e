package admission

import (
	"math"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	// sharePrecision is the value of a share of 1 on the wire.
	sharePrecision = 1000
	// maxWireClass bounds the position of a class. Endpoints distinguish ten ranks.
	maxWireClass = 255
	// maxWireServices bounds the services of a message, maxWireDemands the demands of a
	// report, and maxWireAccounts the account shares of a class, so that a faulty sender
	// can't exhaust the receiver.
	maxWireServices = 64
	maxWireDemands  = 256
	maxWireAccounts = 256
	// maxWireLevels bounds the bytes of a table, which have two cells each.
	maxWireLevels = 1024
	// maxWireStreams bounds the streams of one demand, and maxWireFinished the tokens that
	// ended, which a float64 holds exactly up to there.
	maxWireStreams  = 1 << 20
	maxWireFinished = 1 << 53
)

// ReportsToWire encodes reports. Demands of a class that can't be sent are left out.
func ReportsToWire(reports []Report) []*rpc.AdmissionReport {
	list := make([]*rpc.AdmissionReport, 0, len(reports))
	for _, r := range reports {
		w := &rpc.AdmissionReport{
			Service:        r.Service,
			InFlightTokens: tokensToWire(r.InFlight),
			FinishedTokens: uint64(bounded(r.Finished, maxWireFinished)),
			Demand:         make([]*rpc.AdmissionDemand, 0, len(r.Demand)),
		}
		for _, d := range r.Demand {
			if !validClass(d.Class) {
				continue
			}
			w.Demand = append(w.Demand, &rpc.AdmissionDemand{
				Class:   uint32(d.Class.Index()),
				Account: d.Account,
				Tokens:  tokensToWire(d.Tokens),
				Streams: streamsToWire(d.Streams),
			})
		}
		list = append(list, w)
	}
	return list
}

// ReportsFromWire decodes reports. Reports without a service and invalid demands are
// dropped.
func ReportsFromWire(list []*rpc.AdmissionReport) []Report {
	reports := make([]Report, 0, len(list))
	for _, w := range list {
		if w.GetService() == "" || w.GetFinishedTokens() > maxWireFinished || len(reports) == maxWireServices {
			continue
		}
		r := Report{
			Service:  w.GetService(),
			InFlight: float64(w.GetInFlightTokens()),
			Finished: float64(w.GetFinishedTokens()),
		}
		for _, d := range w.GetDemand() {
			if len(r.Demand) == maxWireDemands {
				break
			}
			if d.GetClass() > maxWireClass || d.GetTokens() == 0 || d.GetStreams() > maxWireStreams {
				continue
			}
			r.Demand = append(r.Demand, Demand{
				Class:   ClassAt(int(d.GetClass())),
				Account: d.GetAccount(),
				Tokens:  float64(d.GetTokens()),
				Streams: int(max(1, d.GetStreams())),
			})
		}
		reports = append(reports, r)
	}
	return reports
}

// AllocationsToWire encodes allocations.
func AllocationsToWire(allocations []Allocation) []*rpc.Admission {
	list := make([]*rpc.Admission, 0, len(allocations))
	for _, a := range allocations {
		w := &rpc.Admission{
			Service:        a.Service,
			CapacityTokens: tokensToWire(a.Capacity),
			InFlightTokens: tokensToWire(a.InFlight),
			ByAccount:      a.ByAccount,
			ShortageMs:     millisecondsToWire(a.Shortage),
			Classes:        make([]*rpc.AdmissionClass, 0, len(a.Classes)),
		}
		for _, c := range a.Classes {
			if validClass(c.Class) {
				w.Classes = append(w.Classes, c.toWire())
			}
		}
		list = append(list, w)
	}
	return list
}

func (c *ClassShare) toWire() *rpc.AdmissionClass {
	w := &rpc.AdmissionClass{
		Class: uint32(c.Class.Index()),
		Share: shareToWire(c.Share),
	}
	for _, a := range c.Accounts {
		w.Accounts = append(w.Accounts, a.Account)
		w.AccountShares = append(w.AccountShares, shareToWire(a.Share))
	}
	if c.Others != nil {
		w.OtherLevels = c.Others.levels()
		w.OtherSeed = c.Others.Seed
	}
	return w
}

// AllocationsFromWire decodes allocations. Allocations without a service, invalid classes
// and invalid account shares are dropped; accounts that are dropped have the share of
// their class.
func AllocationsFromWire(list []*rpc.Admission) []Allocation {
	allocations := make([]Allocation, 0, len(list))
	for _, w := range list {
		if w.GetService() == "" || len(allocations) == maxWireServices {
			continue
		}
		a := Allocation{
			Service:   w.GetService(),
			Capacity:  float64(w.GetCapacityTokens()),
			InFlight:  float64(w.GetInFlightTokens()),
			ByAccount: w.GetByAccount(),
			Shortage:  time.Duration(w.GetShortageMs()) * time.Millisecond,
		}
		for _, c := range w.GetClasses() {
			if c.GetClass() <= maxWireClass && c.GetShare() <= sharePrecision {
				a.Classes = append(a.Classes, classFromWire(c))
			}
		}
		allocations = append(allocations, a)
	}
	return allocations
}

func classFromWire(w *rpc.AdmissionClass) ClassShare {
	c := ClassShare{
		Class:  ClassAt(int(w.GetClass())),
		Share:  shareFromWire(w.GetShare()),
		Others: tableOfLevels(w.GetOtherSeed(), w.GetOtherLevels()),
	}
	accounts, shares := w.GetAccounts(), w.GetAccountShares()
	if len(accounts) != len(shares) || len(accounts) > maxWireAccounts {
		return c
	}
	for i, account := range accounts {
		if account == 0 || shares[i] > sharePrecision {
			continue
		}
		c.Accounts = append(c.Accounts, AccountShare{
			Account: account,
			Share:   shareFromWire(shares[i]),
		})
	}
	return c
}

func validClass(c Class) bool {
	return c.Rank >= 0 && c.Index() <= maxWireClass
}

// shareToWire returns a share in thousandths. A share above 0 never becomes 0, which would
// refuse everyone, and one below 1 never 1, which would admit all.
func shareToWire(share float64) uint32 {
	switch {
	case !(share > 0): // also if it isn't a number
		return 0
	case share >= 1:
		return sharePrecision
	}
	return uint32(min(max(1, math.Round(share*sharePrecision)), sharePrecision-1))
}

func shareFromWire(share uint32) float64 {
	return float64(share) / sharePrecision
}

// streamsToWire returns the streams of a demand; 0 stands for one, which is the most frequent
// number of a client account on a host, and takes no bytes.
func streamsToWire(streams int) uint32 {
	if streams <= 1 {
		return 0
	}
	return uint32(min(streams, maxWireStreams))
}

func tokensToWire(tokens float64) uint32 {
	return uint32(bounded(tokens, math.MaxUint32))
}

// millisecondsToWire returns a duration in milliseconds, at least 1 if it is above 0.
func millisecondsToWire(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(min(max(1, d.Milliseconds()), math.MaxUint32))
}

// bounded rounds v to an integer from 0 to limit; it is 0 if v isn't a number.
func bounded(v, limit float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(math.Round(v), limit)
}
