package admission

import (
	"cmp"
	"slices"
)

const (
	// maxAccountShares bounds the account shares of a service, over all classes, so that an
	// allocation takes less than 500 bytes.
	maxAccountShares = 48
	// tabledAccountShares is the bound if there are more accounts, and a table of the others.
	tabledAccountShares = 16
)

// accountDemand is what one client account asks for; account 0 is several together.
type accountDemand struct {
	account uint32
	tokens  float64
}

// classDemand is what the client accounts of one class ask for.
type classDemand struct {
	class    Class
	accounts []accountDemand
}

func (c *classDemand) tokens() float64 {
	sum := 0.0
	for _, a := range c.accounts {
		sum += a.tokens
	}
	return sum
}

// divideBy divides what the accounts, but for account 0, ask for in sum in proportion to
// weights. Accounts without a part are dropped.
func (c *classDemand) divideBy(weight func(a accountDemand) float64) {
	known, weights := 0.0, 0.0
	list := make([]accountDemand, 0, len(c.accounts))
	for _, a := range c.accounts {
		if a.account == 0 {
			continue
		}
		known += a.tokens
		a.tokens = weight(a)
		weights += a.tokens
		if a.tokens > 0 {
			list = append(list, a)
		}
	}
	if weights <= 0 {
		return
	}
	for i := range list {
		list[i].tokens *= known / weights
	}
	for _, a := range c.accounts {
		if a.account == 0 {
			list = append(list, a)
		}
	}
	c.accounts = list
}

// divide returns the shares of classes that are in the order of admission, and whether any
// class is limited. The tokens admitted up to and including a rank are at most
// admissible(rank), as far as the more urgent ranks leave any. The seed decides which accounts
// that aren't listed share a cell.
func divide(classes []classDemand, seed uint32, admissible func(c Class) float64) (list []ClassShare, limited bool) {
	admitted := 0.0
	left := make([]float64, len(classes)) // for the classes that are admitted in part
	for i := range classes {
		c := &classes[i]
		wanted := c.tokens()
		most := admissible(c.class)
		available := max(0, most-admitted)
		share := ClassShare{
			Class: c.class,
			Share: 1,
		}
		if wanted > available {
			share.Share = available / wanted
			limited = true
			admitted = max(admitted, most) // exactly, so that rounding leaves nothing to others
		} else {
			admitted += wanted
		}
		if share.Share > 0 && share.Share < 1 {
			left[i] = available
		}
		list = append(list, share)
	}
	listed := largestAccounts(classes, left)
	table := mostUnlisted(classes, left, listed)
	for i := range classes {
		if left[i] > 0 {
			list[i].divideAmongAccounts(classes[i].accounts, listed[i], left[i])
		}
		if i == table {
			list[i].divideAmongOthers(classes[i].accounts, listed[i], seed)
		}
	}
	return list, limited
}

// mostUnlisted returns the position of the class whose unlisted accounts ask for most, which
// gets the only table of an allocation, or -1 if there are none.
func mostUnlisted(classes []classDemand, left []float64, listed []map[uint32]bool) int {
	position, most := -1, 0.0
	for i := range classes {
		if left[i] <= 0 {
			continue
		}
		unlisted, unknown := 0.0, 0.0
		for _, a := range classes[i].accounts {
			switch {
			case a.account == 0:
				unknown += a.tokens
			case !listed[i][a.account]:
				unlisted += a.tokens
			}
		}
		if unlisted > max(most, unknown) { // with less known, the accounts' parts are a guess
			position, most = i, unlisted
		}
	}
	return position
}

// largestAccounts returns, for each class with tokens left, the accounts that get a share of
// their own: all if they are few, and else those that ask for most, over all classes.
func largestAccounts(classes []classDemand, left []float64) []map[uint32]bool {
	type candidate struct {
		class int
		accountDemand
	}
	var all []candidate
	listed := make([]map[uint32]bool, len(classes))
	for i := range classes {
		if left[i] <= 0 {
			continue
		}
		listed[i] = map[uint32]bool{}
		for _, a := range classes[i].accounts {
			if a.account != 0 {
				all = append(all, candidate{class: i, accountDemand: a})
			}
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return compareDemand(b.accountDemand, a.accountDemand)
	})
	if len(all) > maxAccountShares {
		all = all[:tabledAccountShares]
	}
	for _, c := range all {
		listed[c.class][c.account] = true
	}
	return listed
}

// divideAmongAccounts divides tokens max-min fairly among the accounts of a class. Listed
// accounts get shares of their own, and the others have the rest in common.
func (s *ClassShare) divideAmongAccounts(accounts []accountDemand, listed map[uint32]bool, tokens float64) {
	spread := spreadUnknown(accounts, listed)
	level := fairLevel(spread, tokens)
	shares := map[uint32]float64{}
	for _, a := range spread {
		if listed[a.account] {
			shares[a.account] = min(1, level/a.tokens)
			s.Accounts = append(s.Accounts, AccountShare{
				Account: a.account,
				Share:   shares[a.account],
			})
		}
	}
	others := 0.0
	for _, a := range accounts {
		if listed[a.account] {
			tokens -= a.tokens * shares[a.account]
		} else {
			others += a.tokens
		}
	}
	if others > 0 {
		s.Share = min(1, max(0, tokens/others))
	}
	slices.SortFunc(s.Accounts, func(a, b AccountShare) int {
		return cmp.Compare(a.Account, b.Account)
	})
}

// divideAmongOthers gives the accounts that aren't listed shares of their own, of the tokens
// that the listed ones leave.
func (s *ClassShare) divideAmongOthers(accounts []accountDemand, listed map[uint32]bool, seed uint32) {
	var others []accountDemand
	sum := 0.0
	for _, a := range spreadUnknown(accounts, listed) {
		if a.account != 0 && !listed[a.account] {
			others = append(others, a)
			sum += a.tokens
		}
	}
	rest := 1.0 // who has asked for nothing lately asks for little
	if slices.ContainsFunc(accounts, func(a accountDemand) bool { return a.account == 0 }) {
		rest = s.Share // it may be one of those that hosts report together
	}
	s.Others = newShareTable(seed, others, s.Share*sum, rest)
}

// spreadUnknown returns the accounts without account 0, whose tokens are added to those of
// the others in proportion: to those of the accounts that aren't listed, since hosts report
// the smallest accounts together; or to all, if the others ask for less than account 0 and so
// can't be what it consists of.
func spreadUnknown(accounts []accountDemand, listed map[uint32]bool) []accountDemand {
	unknown, known, unlisted := 0.0, 0.0, 0.0
	for _, a := range accounts {
		switch {
		case a.account == 0:
			unknown += a.tokens
		case listed[a.account]:
			known += a.tokens
		default:
			known += a.tokens
			unlisted += a.tokens
		}
	}
	if unknown == 0 || known == 0 {
		return accounts
	}
	spread := make([]accountDemand, 0, len(accounts))
	for _, a := range accounts {
		switch {
		case a.account == 0:
			continue
		case unlisted < unknown:
			a.tokens += unknown * a.tokens / known
		case !listed[a.account]:
			a.tokens += unknown * a.tokens / unlisted
		}
		spread = append(spread, a)
	}
	return spread
}

// fairLevel returns the level at which accounts get tokens in sum if each gets what it asks
// for, but at most the level. If all get what they ask for it is the largest demand.
func fairLevel(accounts []accountDemand, tokens float64) float64 {
	ascending := slices.Clone(accounts)
	slices.SortFunc(ascending, compareDemand)
	for i, a := range ascending {
		level := tokens / float64(len(ascending)-i)
		if a.tokens > level {
			return level
		}
		tokens -= a.tokens
	}
	if len(ascending) == 0 {
		return 0
	}
	return ascending[len(ascending)-1].tokens
}

// compareDemand orders accounts by what they ask for.
func compareDemand(a, b accountDemand) int {
	return cmp.Or(cmp.Compare(a.tokens, b.tokens), cmp.Compare(a.account, b.account))
}
