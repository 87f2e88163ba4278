package tasks

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxSingleBytes is the approximate size beyond which the progress of a job is stored in
	// parts, and singleShare the part of a record, as a divisor, up to which it isn't: in JSON a
	// byte may take six. It holds some 200 tasks that run. A larger record would be rewritten
	// as a whole at each change.
	maxSingleBytes = 16 << 10
	singleShare    = 16
	// partedShare is the part of maxSingleBytes, as a divisor, below which a job returns to a
	// single record. The distance keeps it from changing its form back and forth.
	partedShare = 4
	// partTasks is the number of consecutive tasks of a round in a part. A change of one
	// task rewrites some 1.2 KB. With half of it, a task costs a tenth to a third fewer bytes,
	// but the largest job has twice as many records.
	partTasks = 16
	// maxPartBytes is the size beyond which each task of a part gets a record of its own,
	// since checkpoints are chosen by callers, and partShare the part of a record, as a
	// divisor, beyond which it does.
	maxPartBytes = 64 << 10
	partShare    = 4
	// checkpointShare is the part of a record, as a divisor, that a checkpoint takes at most
	// before it is encoded.
	checkpointShare = 8
	// partsFormat is the version of the format of parts.
	partsFormat = 1
	// taskBytes and hostBytes are the approximate sizes of a task's record without its
	// texts, and of what is added while a run is active.
	taskBytes = 36
	hostBytes = 24
)

// Limits are sizes in bytes: of a write beyond which the changes of a job are split, and of the
// largest record that the store takes, 0 if unknown.
type Limits struct {
	Write  int
	Record int
}

// Checkpoint returns the size of the longest checkpoint that surely fits into a record with its
// task, 0 if unknown.
func (l Limits) Checkpoint() int { return l.Record / checkpointShare }

func (l Limits) single() int { return l.shareOfRecord(singleShare, maxSingleBytes) }

func (l Limits) part() int { return l.shareOfRecord(partShare, maxPartBytes) }

// shareOfRecord returns the part of a record that a divisor gives, at most a limit.
func (l Limits) shareOfRecord(divisor, limit int) int {
	if l.Record == 0 {
		return limit
	}
	return min(limit, l.Record/divisor)
}

// ProgressRecord is a record of a job's progress. Part is empty for the main record. A
// record without a value deletes the part.
type ProgressRecord struct {
	Part  string
	Value []byte
}

func (r ProgressRecord) size() int { return len(r.Part) + len(r.Value) }

// StoredProgress is what the store holds of a job's progress once the writes in flight are
// confirmed. The zero value stands for a job without parts.
type StoredProgress struct {
	// inParts is set if the main record refers to the parts.
	inParts bool
	// head is the main record of a job in parts, or nil if unknown.
	head  []byte
	parts map[partID]*storedPart
}

// partID identifies a part by its round and the number of its first task in the round.
type partID struct {
	round int
	first int
}

// partState is the state of the tasks of a part; that of an unassigned task is zero.
type partState [partTasks]taskRecord

// storedPart is what the store holds of a part.
type storedPart struct {
	// state is nil if it isn't known.
	state *partState
	// records holds the numbers of the first tasks of the part's records.
	records []int
}

// partName returns the name of a record of tasks of a round that begins with a task.
func partName(round, first int) string { return fmt.Sprintf("%d.%d", round, first) }

func parsePartName(name string) (round, first int, err error) {
	before, after, _ := strings.Cut(name, ".")
	if round, err = strconv.Atoi(before); err == nil {
		first, err = strconv.Atoi(after)
	}
	if err == nil && (round < 0 || first < 0) {
		err = errors.New("negative number")
	}
	return round, first, errors.Wrapf(err, "the name %q of a part", name)
}

// newStoredProgress returns the stored progress with parts of unknown state.
func newStoredProgress(parts map[string][]byte) (StoredProgress, error) {
	var s StoredProgress
	for name := range parts {
		round, first, err := parsePartName(name)
		if err != nil {
			return s, err
		}
		part := s.part(partID{round, first - first%partTasks})
		part.records = append(part.records, first)
	}
	for _, part := range s.parts {
		slices.Sort(part.records)
	}
	return s, nil
}

func (s *StoredProgress) part(id partID) *storedPart {
	if s.parts == nil {
		s.parts = make(map[partID]*storedPart)
	}
	if s.parts[id] == nil {
		s.parts[id] = &storedPart{}
	}
	return s.parts[id]
}

// Forget makes the next write repeat all records, because it isn't known what is stored.
func (s *StoredProgress) Forget() {
	s.head = nil
	for _, part := range s.parts {
		part.state = nil
	}
}

// RemoveParts returns the records that delete all parts.
func (s *StoredProgress) RemoveParts() []ProgressRecord {
	records := s.removeParts(func(partID) bool { return true })
	*s = StoredProgress{}
	return records
}

// removeParts deletes the parts that match.
func (s *StoredProgress) removeParts(match func(partID) bool) []ProgressRecord {
	var records []ProgressRecord
	for _, id := range slices.SortedFunc(maps.Keys(s.parts), comparePartIDs) {
		if !match(id) {
			continue
		}
		for _, first := range s.parts[id].records {
			records = append(records, ProgressRecord{Part: partName(id.round, first)})
		}
		delete(s.parts, id)
	}
	return records
}

func comparePartIDs(a, b partID) int {
	return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.first, b.first))
}

// partsMarker stands in the main record of a job in parts in place of the tasks. Versions
// that know no parts fail to decode it, rather than read all tasks as never assigned.
type partsMarker struct {
	Parts int
}

func isPartsMarker(tasks []byte) bool { return bytes.HasPrefix(tasks, []byte("{")) }

// EncodeChanges returns the records that bring the stored progress up to date, as writes to
// be made in this order. It returns several only if they don't fit into one of limits.Write bytes.
//
// After any number of these writes, what is stored must not lack an end that was acknowledged
// before, so the last write that is needed to read new parts comes last, and the first that
// ends the use of old ones comes first. See docs/design/records.md.
func (j *Job) EncodeChanges(stored *StoredProgress, limits Limits) ([][]ProgressRecord, error) {
	size := j.progressSize()
	if size > limits.single() || stored.inParts && size > limits.single()/partedShare {
		return j.encodeParts(stored, limits)
	}
	value, err := j.EncodeProgress()
	if err != nil {
		return nil, err
	}
	return [][]ProgressRecord{append([]ProgressRecord{{Value: value}}, stored.RemoveParts()...)}, nil
}

// EncodeEnd returns the records of a job that has ended, without its tasks.
func (j *Job) EncodeEnd(stored *StoredProgress) ([][]ProgressRecord, error) {
	ended := Job{Key: j.Key, Phase: j.Phase, Ended: j.Ended, NextRound: j.NextRound, Started: j.Started}
	value, err := ended.EncodeProgress()
	return [][]ProgressRecord{append([]ProgressRecord{{Value: value}}, stored.RemoveParts()...)}, err
}

// progressSize returns the approximate size of the progress in a single record.
func (j *Job) progressSize() int {
	size := 0
	for _, round := range j.Rounds {
		for _, step := range round.Steps {
			for i := range step {
				size += step[i].recordSize()
			}
		}
	}
	return size
}

func (t *Task) recordSize() int {
	if t.Run == 0 && t.State == Waiting {
		return 0
	}
	size := taskBytes + len(t.AvoidHost)
	if t.Active() {
		size += hostBytes + len(t.Host)
	}
	if t.State != Done {
		size += len(t.Checkpoint)
	}
	return size
}

// encodeParts returns the changes of a job in parts.
func (j *Job) encodeParts(stored *StoredProgress, limits Limits) ([][]ProgressRecord, error) {
	head, err := j.encodePartsHead(stored)
	if err != nil {
		return nil, err
	}
	p := packer{limit: limits.Write}
	if stored.inParts {
		p.add([][]ProgressRecord{head})
	}
	inProgress := make(map[int]bool)
	for _, round := range j.Rounds {
		inProgress[round.Number] = true
		changes, err := stored.updateRound(round, limits.part())
		if err != nil {
			return nil, err
		}
		p.add(changes)
	}
	if !stored.inParts {
		p.add([][]ProgressRecord{head})
	}
	for _, record := range stored.removeParts(func(id partID) bool { return !inProgress[id.round] }) {
		p.add([][]ProgressRecord{{record}})
	}
	stored.inParts = true
	return p.writes(), nil
}

// encodePartsHead returns the main record of a job in parts, if that has changed.
func (j *Job) encodePartsHead(stored *StoredProgress) ([]ProgressRecord, error) {
	value, err := json.Marshal(struct {
		progressHead
		Tasks partsMarker
	}{j.progressHead(), partsMarker{Parts: partsFormat}})
	if err != nil || bytes.Equal(value, stored.head) {
		return nil, errors.Wrapf(err, "encoding the progress of job %s", j.Key.ID)
	}
	stored.head = value
	return []ProgressRecord{{Value: value}}, nil
}

// updateRound returns the changes of each part of a round. Beyond limit bytes the tasks of a part
// get records of their own.
func (s *StoredProgress) updateRound(round *Round, limit int) ([][]ProgressRecord, error) {
	var changes [][]ProgressRecord
	var err error
	round.forEachPart(func(first int, state *partState) {
		id := partID{round.Number, first}
		part := s.parts[id]
		if err != nil || part == nil && *state == (partState{}) || part != nil && part.state != nil && *part.state == *state {
			return
		}
		var records []ProgressRecord
		records, err = s.part(id).update(id, state, limit)
		changes = append(changes, records)
	})
	return changes, err
}

// forEachPart calls visit with the number of the first task and the state of each part.
// The state is valid during the call.
func (r *Round) forEachPart(visit func(first int, state *partState)) {
	var state partState
	number := 0
	for step := range r.Steps {
		for index := range r.Steps[step] {
			state[number%partTasks], _ = newTaskRecord(r.Number, step, index, &r.Steps[step][index])
			if number++; number%partTasks == 0 {
				visit(number-partTasks, &state)
				state = partState{}
			}
		}
	}
	if number%partTasks != 0 {
		visit(number-number%partTasks, &state)
	}
}

// update returns the records of a changed part, which must be written together.
func (p *storedPart) update(id partID, state *partState, limit int) ([]ProgressRecord, error) {
	records, err := encodePart(id, state, limit)
	if err != nil {
		return nil, err
	}
	var firsts []int
	for _, record := range records {
		_, first, err := parsePartName(record.Part)
		if err != nil {
			return nil, err
		}
		firsts = append(firsts, first)
	}
	for _, first := range p.records {
		if !slices.Contains(firsts, first) {
			records = append(records, ProgressRecord{Part: partName(id.round, first)})
		}
	}
	copied := *state
	p.state, p.records = &copied, firsts
	return records, nil
}

// encodePart encodes the assigned tasks of a part, as one record unless that has more than limit
// bytes.
func encodePart(id partID, state *partState, limit int) ([]ProgressRecord, error) {
	var assigned []taskRecord
	var alone []ProgressRecord
	for i := range state {
		if state[i] == (taskRecord{}) {
			continue
		}
		assigned = append(assigned, state[i])
		alone = append(alone, ProgressRecord{Part: partName(id.round, id.first+i)})
	}
	if len(assigned) == 0 {
		return nil, nil
	}
	whole, err := json.Marshal(assigned)
	if err != nil {
		return nil, errors.Wrap(err, "encoding tasks")
	}
	if len(whole) <= limit {
		return []ProgressRecord{{Part: partName(id.round, id.first), Value: whole}}, nil
	}
	for i := range alone {
		if alone[i].Value, err = json.Marshal(assigned[i : i+1]); err != nil {
			return nil, errors.Wrap(err, "encoding a task")
		}
	}
	return alone, nil
}

// decodeParts restores the tasks from the parts of the rounds in progress. Parts of other
// rounds are left over from an owner that died, and are deleted by the next write.
func (j *Job) decodeParts(marker []byte, parts map[string][]byte, stored *StoredProgress) error {
	var m partsMarker
	if err := json.Unmarshal(marker, &m); err != nil {
		return errors.Wrapf(err, "decoding the progress of job %s", j.Key.ID)
	}
	if m.Parts != partsFormat {
		return errors.Errorf("the progress of job %s is in parts of format %d, want %d", j.Key.ID, m.Parts, partsFormat)
	}
	rounds := make(map[int]bool)
	for _, round := range j.Rounds {
		rounds[round.Number] = true
	}
	for name, data := range parts {
		number, _, err := parsePartName(name)
		if err == nil && rounds[number] {
			err = j.restoreTasks(data)
		}
		if err != nil {
			return errors.WithMessagef(err, "part %s", name)
		}
	}
	stored.inParts = true
	stored.recordStates(j.Rounds)
	return nil
}

// recordStates records that the parts of the rounds are stored as they are.
func (s *StoredProgress) recordStates(rounds []*Round) {
	for _, round := range rounds {
		round.forEachPart(func(first int, state *partState) {
			if part := s.parts[partID{round.Number, first}]; part != nil {
				copied := *state
				part.state = &copied
			}
		})
	}
}

// packer packs changes into writes of at most limit bytes.
type packer struct {
	limit   int
	done    [][]ProgressRecord
	current []ProgressRecord
	size    int
}

// add adds changes, each of which needs one write. They share a write if one can hold them
// all: members of a gang, and steps that depend on each other, change together.
func (p *packer) add(changes [][]ProgressRecord) {
	total := 0
	for _, change := range changes {
		total += sizeOf(change)
	}
	if p.size > 0 && p.size+total > p.limit {
		p.flush()
	}
	for _, change := range changes {
		size := sizeOf(change)
		if p.size > 0 && p.size+size > p.limit {
			p.flush()
		}
		p.current = append(p.current, change...)
		p.size += size
	}
}

func sizeOf(records []ProgressRecord) int {
	size := 0
	for _, record := range records {
		size += record.size()
	}
	return size
}

func (p *packer) flush() {
	p.done = append(p.done, p.current)
	p.current, p.size = nil, 0
}

func (p *packer) writes() [][]ProgressRecord {
	if len(p.current) > 0 {
		p.flush()
	}
	return p.done
}
