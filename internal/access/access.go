// Package access decides which methods and customers a peer may use, by the user and group id of its process. It does
// no I/O.
package access

import (
	"fmt"
	"slices"
)

// Rule allows access to peers whose ids match. An id below 0 matches any.
type Rule struct {
	UID, GID  int64
	Methods   []string // empty: all
	Customers []string // empty: all
}

// Rules are tried in order; the first one that matches a peer applies. An empty list gives all peers full access.
type Rules []Rule

// Permissions say what one peer may do: what the first rule that matches it allows.
type Permissions struct {
	peer string // its ids, for errors
	rule *Rule  // nil: no restrictions
}

// Authorize returns the permissions of a peer, or an error if no rule matches. Gid is the primary group of the peer's
// process, because a socket reports no other groups.
func (rules Rules) Authorize(uid, gid int64) (Permissions, error) {
	p := Permissions{peer: fmt.Sprintf("uid %d, gid %d", uid, gid)}
	if len(rules) == 0 {
		return p, nil
	}
	for i := range rules {
		if (rules[i].UID < 0 || rules[i].UID == uid) && (rules[i].GID < 0 || rules[i].GID == gid) {
			p.rule = &rules[i]
			return p, nil
		}
	}
	return p, fmt.Errorf("not allowed: %s is on no list", p.peer)
}

// Check returns an error if the peer may not use the method or the customer. An empty customer means none.
func (p Permissions) Check(method, customer string) error {
	switch {
	case p.rule == nil:
	case len(p.rule.Methods) > 0 && !slices.Contains(p.rule.Methods, method):
		return fmt.Errorf("not allowed: %s may not ask for method %q", p.peer, method)
	case customer != "" && len(p.rule.Customers) > 0 && !slices.Contains(p.rule.Customers, customer):
		return fmt.Errorf("not allowed: %s may not ask for customer %q", p.peer, customer)
	}
	return nil
}
