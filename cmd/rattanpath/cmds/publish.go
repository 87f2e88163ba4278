package cmds

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"rattanpath/change"
	"rattanpath/config"
)

// revisionFile is the file of a folder that holds the revision from which the
// folder was fetched or as which it was last published.
const revisionFile = ".rattanpath-revision"

// fetchCommand writes the files of the active configuration to a folder.
type fetchCommand struct {
	platformFlags
	Dir string `arg:"" help:"Folder to write to; must not exist yet or be empty."`
}

// Run writes the files and their revision.
func (c *fetchCommand) Run(e *env) error {
	state, err := c.publisher().Current(e.ctx)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return errors.Wrap(err, "creating the folder")
	}
	entries, err := os.ReadDir(c.Dir)
	if err != nil {
		return errors.Wrap(err, "reading the folder")
	}
	if len(entries) > 0 {
		return errors.Errorf("%s is not empty; choose a new or empty folder, so that no existing file is overwritten", c.Dir)
	}
	for name, text := range state.Files {
		if err := os.WriteFile(filepath.Join(c.Dir, name), []byte(text), 0o644); err != nil {
			return errors.Wrap(err, "writing a file")
		}
	}
	if err := writeRevision(c.Dir, state.Revision); err != nil {
		return err
	}
	text := fmt.Sprintf("%d files of revision %d written to %s\n", len(state.Files), state.Revision, c.Dir)
	return e.print(publishResult{Revision: state.Revision}, text)
}

func writeRevision(dir string, revision int64) error {
	data := []byte(strconv.FormatInt(revision, 10) + "\n")
	return errors.Wrap(os.WriteFile(filepath.Join(dir, revisionFile), data, 0o644), "writing the revision")
}

// readRevision returns the revision of a folder, or 0 for a folder that was
// neither fetched nor published.
func readRevision(dir string) (int64, error) {
	path := filepath.Join(dir, revisionFile)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "reading the revision")
	}
	revision, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	return revision, errors.Wrapf(err, "%s contains no revision number; fetch the folder again", path)
}

// publishCommand publishes a folder.
type publishCommand struct {
	platformFlags
	Dir       string        `arg:"" help:"Folder of declaration files."`
	Base      int64         `help:"Revision that the change is based on; by default the one that the folder was fetched from or last published as." default:"-1"`
	RequestID string        `help:"ID of the request; pass the ID of an earlier attempt to learn its outcome." name:"request-id"`
	Writer    string        `help:"Name of the operator who publishes." env:"RATTANPATH_WRITER,USER" default:"operator"`
	Wait      bool          `help:"Wait until the revision is active on every live node."`
	Timeout   time.Duration `help:"Timeout of publishing and waiting." default:"30s"`
}

type publishResult struct {
	Revision  int64
	RequestID string `json:",omitempty"`
	// InForceAfter is the time from the start of the publication until the
	// revision was active on every live node; zero without --wait.
	InForceAfter time.Duration `json:",omitempty"`
	Nodes        []string      `json:",omitempty"`
}

// Run publishes the folder and prints the revision. With --wait it also waits
// until the revision is active on all live nodes.
func (c *publishCommand) Run(e *env) error {
	declaration, err := loadFolder(c.Dir)
	if err != nil {
		return err
	}
	request, err := c.request(declaration)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	started := time.Now()
	revision, err := c.publisher().Publish(ctx, request)
	if err != nil {
		return err
	}
	if err := writeRevision(c.Dir, revision); err != nil {
		return err
	}
	result := publishResult{Revision: revision, RequestID: request.ID}
	text := fmt.Sprintf("revision %d is published\n", revision)
	if c.Wait {
		rollout, err := change.AwaitRollout(ctx, newEntryNodes(c.Platform, c.LogTimeout), revision)
		if err != nil {
			return errors.Wrapf(err, "revision %d is published, but not confirmed active on %s", revision, strings.Join(rollout.Pending, ", "))
		}
		result.InForceAfter = time.Since(started)
		result.Nodes = rollout.Active
		text += fmt.Sprintf("in force at %d nodes after %s\n", len(result.Nodes), result.InForceAfter.Round(time.Millisecond))
	}
	return e.print(result, text)
}

func (c *publishCommand) request(declaration *config.Declaration) (change.Request, error) {
	request := change.Request{ID: c.RequestID, Writer: c.Writer, Base: c.Base, Files: declaration.Files}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	if request.Base >= 0 {
		return request, nil
	}
	base, err := readRevision(c.Dir)
	request.Base = base
	return request, err
}
