package coordinator

import (
	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/replicator"
)

// AuthorityTTL is authorityTTL.
const AuthorityTTL = authorityTTL

// AuthorityTerm returns the term in which the process may send orders now, and false if it may not.
func (c *Coordinator) AuthorityTerm() (replicator.Term, bool) { return c.authorityTerm() }

// LogStatus returns the status of the process in the log.
func (c *Coordinator) LogStatus() driver.Status { return c.driver.Status() }
