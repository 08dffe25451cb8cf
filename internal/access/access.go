// Package access decides what a peer may ask for, by the user and group ids of its process. No I/O.
package access

import (
	"fmt"
	"slices"
)

// Rule lets in peers whose ids match; an id below 0 matches any.
type Rule struct {
	UID, GID  int64
	Methods   []string // none: all
	Customers []string // likewise
}

// Rules is the rules in order; an empty list lets everybody in.
type Rules []Rule

// Permissions is what one peer may do: the first rule that matches it.
type Permissions struct {
	who  string
	rule *Rule
}

// Authorize finds a peer's right. Gid is the primary group of its process: a socket tells no others.
func (l Rules) Authorize(uid, gid int64) (Permissions, error) {
	r := Permissions{who: fmt.Sprintf("uid %d, gid %d", uid, gid)}
	if len(l) == 0 {
		return r, nil
	}
	for i := range l {
		if (l[i].UID < 0 || l[i].UID == uid) && (l[i].GID < 0 || l[i].GID == gid) {
			r.rule = &l[i]
			return r, nil
		}
	}
	return r, fmt.Errorf("not allowed: %s is on no list", r.who)
}

// Check tells whether the peer may ask for this method for this customer; an empty customer is none.
func (r Permissions) Check(method, customer string) error {
	switch {
	case r.rule == nil:
	case len(r.rule.Methods) > 0 && !slices.Contains(r.rule.Methods, method):
		return fmt.Errorf("not allowed: %s may not ask for method %q", r.who, method)
	case customer != "" && len(r.rule.Customers) > 0 && !slices.Contains(r.rule.Customers, customer):
		return fmt.Errorf("not allowed: %s may not ask for customer %q", r.who, customer)
	}
	return nil
}
