package cmds

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"rattanpath/views"
)

// organisationsCommand shows the organisations in all services.
type organisationsCommand struct {
	managementFlags
	Service string `help:"Show only this service. Sums are then those of the service."`
}

// Run prints the organisations.
func (c *organisationsCommand) Run(e *env) error {
	cells, err := c.client().Organisations(e.ctx, c.Node, c.Service)
	if err != nil {
		return err
	}
	return e.print(cells, organisationsText(cells))
}

// organisationInCell is an organisation with the cell that it is shown for.
type organisationInCell struct {
	*views.OrganisationUse
	cell *views.CellOrganisations
}

// organisationsText returns a table for each organisation, and one of the cells.
func organisationsText(cells []views.CellOrganisations) string {
	byName := make(map[string][]organisationInCell)
	for i := range cells {
		for k := range cells[i].Organisations {
			use := &cells[i].Organisations[k]
			byName[use.Name] = append(byName[use.Name], organisationInCell{OrganisationUse: use, cell: &cells[i]})
		}
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		writeOrganisation(&text, name, byName[name])
	}
	table := newTable(&text)
	_, _ = fmt.Fprintln(table, "SERVICE\tNODE\tEPOCH\tVERSION\tCONFIRMED\tLEADER\tALLOTTED\tVALID FOR\tPROBLEM")
	for i := range cells {
		writeCell(table, &cells[i])
	}
	_ = table.Flush()
	return text.String()
}

// writeOrganisation writes the sums of an organisation and a row for each cell.
func writeOrganisation(text *strings.Builder, name string, uses []organisationInCell) {
	newest := slices.MaxFunc(uses, func(a, b organisationInCell) int { return cmp.Compare(a.cell.Version, b.cell.Version) })
	var used, waiting views.Resources
	for _, use := range uses {
		used, waiting = addResources(used, use.Used), addResources(waiting, use.Waiting)
	}
	if name == "" {
		name = "(none)"
	}
	_, _ = fmt.Fprintf(text, "organisation %s: weight %g, cap %s, uses %s, waits for %s\n", name, newest.Weight, formatLimited(newest.Cap, newest.Cap), formatResources(used), formatResources(waiting))
	table := newTable(text)
	_, _ = fmt.Fprintln(table, "SERVICE\tUSED\tWAITING\tALLOWED\tBASE\tALLOTTED\tSHARE\tENTITLED\tHELD BY\tREFUSED")
	for _, use := range uses {
		allowed, base, allotted := "-", "-", "-"
		if use.Cap != (views.Resources{}) {
			allowed, base, allotted = formatLimited(use.Allowed, use.Cap), formatLimited(use.Base, use.Cap), formatLimited(use.Allotted, use.Cap)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s\t%s\n", use.cell.Service, formatResources(use.Used), formatResources(use.Waiting),
			allowed, base, allotted, 100*use.Share, formatEntitled(use.OrganisationUse), formatHeld(use.OrganisationUse), formatRefused(use.Refused))
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(text)
}

func writeCell(table *tabwriter.Writer, cell *views.CellOrganisations) {
	if cell.Problem != "" {
		_, _ = fmt.Fprintf(table, "%s\t\t\t\t\t\t\t\t%s\n", cell.Service, cell.Problem)
		return
	}
	leader, allotted, valid, problem := "none", "never", "-", ""
	if cell.Leader != 0 {
		leader, allotted = fmt.Sprint(cell.Leader), formatAge(cell.AllottedAge)+" ago"
		valid = cell.AllottedFor.Round(time.Millisecond).String()
	}
	if cell.Pending {
		problem = "the leader has not confirmed this version yet"
	}
	_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s ago\t%s\t%s\t%s\t%s\n", cell.Service, cell.Node, cell.Epoch, cell.Version, formatAge(cell.Confirmed), leader, allotted, valid, problem)
}

func addResources(a, b views.Resources) views.Resources {
	return views.Resources{CPU: a.CPU + b.CPU, MemMB: a.MemMB + b.MemMB, GPU: a.GPU + b.GPU}
}

// formatResources returns the amounts of CPU, memory and GPUs.
func formatResources(r views.Resources) string {
	return fmt.Sprintf("%d/%d/%d", r.CPU, r.MemMB, r.GPU)
}

// formatLimited returns the amounts of the resources that a cap limits.
func formatLimited(r, limit views.Resources) string {
	format := func(amount, limit int64) string {
		if limit == 0 {
			return "-"
		}
		return fmt.Sprint(amount)
	}
	return format(r.CPU, limit.CPU) + "/" + format(r.MemMB, limit.MemMB) + "/" + format(r.GPU, limit.GPU)
}

func formatEntitled(use *views.OrganisationUse) string {
	if use.Entitled < 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%% %s ago", 100*use.Entitled, formatAge(use.EntitledAge))
}

func formatHeld(use *views.OrganisationUse) string {
	var held []string
	if use.CapHeld > 0 {
		held = append(held, "cap for "+formatAge(use.CapHeld))
	}
	if use.ShareHeld > 0 {
		held = append(held, "share for "+formatAge(use.ShareHeld))
	}
	if len(held) == 0 {
		return "-"
	}
	return strings.Join(held, ", ")
}

func formatRefused(refused map[string]int64) string {
	var counts []string
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		counts = append(counts, fmt.Sprintf("%s %d", reason, refused[reason]))
	}
	if len(counts) == 0 {
		return "-"
	}
	return strings.Join(counts, ", ")
}
