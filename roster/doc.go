// Package roster polls the platform's host list and tolerates short outages of
// the list and short absences of hosts from it. It also tracks which entry
// nodes are members of the fleet.
package roster
