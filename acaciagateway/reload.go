package acaciagateway

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

// SettingsFollower applies the changes of a settings file to a running gateway.
//
// Nothing that a change does ends a request or makes one wait: callers' connections stay open, and lower
// limits come into force as what is held is released.
type SettingsFollower struct {
	Gateway *Gateway
	File    *acaciaplatform.SettingsFile
	// Settings are those of the file that are in force.
	Settings acaciaplatform.ProcessSettings
	// Hangups asks for a read of the file at once.
	Hangups <-chan os.Signal
	// Complete returns the settings with what the file leaves to the system. It is called for settings that come
	// into force.
	Complete func(acaciaplatform.ProcessSettings) acaciaplatform.ProcessSettings

	// failure is the error of the last read, which is recorded once in a row; empty if that read succeeded.
	failure string
}

const (
	// settingsInterval is the time between two reads of the settings file.
	settingsInterval = time.Second
	// settingsConfirmation is the time after which new content is read again. A writer that
	// needs longer between two parts of a file of a few kilobytes is not expected.
	settingsConfirmation = 100 * time.Millisecond
)

// Run follows the file until ctx ends.
func (f *SettingsFollower) Run(ctx context.Context) {
	for {
		interval := settingsInterval
		if f.File.Unconfirmed() {
			interval = settingsConfirmation
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.Hangups:
			// Content that has been read once is confirmed after its time, however many signals come.
			if f.File.Unconfirmed() {
				acacialoop.Sleep(ctx, settingsConfirmation)
			}
		case <-timer.C:
		}
		timer.Stop()
		f.read()
	}
}

// read reads the file and applies what has changed.
func (f *SettingsFollower) read() {
	recorder := f.Gateway.recorder
	settings, changed, err := f.File.Poll()
	if err != nil {
		if err.Error() != f.failure {
			recorder.Record(acaciaevent.Event{Kind: acaciaevent.SettingsInvalid, Detail: err.Error()})
		}
		f.failure = err.Error()
		return
	}
	f.failure = ""
	if !changed {
		return
	}
	change := f.Settings.Change(settings)
	f.Settings = change.Settings
	f.Gateway.ApplySettings(f.Complete(change.Settings))
	if len(change.Refused) > 0 {
		recorder.Record(acaciaevent.Event{Kind: acaciaevent.SettingsRefused, Detail: "these need a restart: " + strings.Join(change.Refused, ", ")})
	}
	detail := "nothing has changed"
	if len(change.Applied) > 0 {
		detail = strings.Join(change.Applied, ", ")
	}
	recorder.Record(acaciaevent.Event{Kind: acaciaevent.SettingsApplied, Detail: detail})
}

// ApplySettings puts those settings in force that can change in a running process; the others must be those with
// which the gateway was made.
func (g *Gateway) ApplySettings(settings acaciaplatform.ProcessSettings) {
	g.setLimits(settings.MemoryBytes, settings.MaxFDs)
	g.configurationBound.Store(int64(settings.ConfigurationBound))
	moved := false
	g.loop.Do(func() {
		now := g.loop.Now()
		moved = settings.StoreURL != g.settings.StoreURL
		g.setSeeds(settings.Seeds)
		g.settings.StoreURL = settings.StoreURL
		g.settings.HeartbeatInterval, g.settings.DrainTime, g.settings.ConfigurationBound = settings.HeartbeatInterval, settings.DrainTime, settings.ConfigurationBound
		g.settings.MemoryBytes, g.settings.MaxFDs = settings.MemoryBytes, settings.MaxFDs
		g.settings.ExposeShare, g.settings.ExposureSlack, g.settings.RollbackTime = settings.ExposeShare, settings.ExposureSlack, settings.RollbackTime
		g.quota.SetSettings(quotaSettings(&settings), now)
		if current := g.configuration.Load(); current != nil {
			g.quota.Configure(current.Organisations, now)
		}
		g.retryBudget.SetSettings(retrySettings(&settings), now)
		g.settings.RegionOfDataCentre = settings.RegionOfDataCentre
		g.scheduler.SetRegions(settings.RegionOfDataCentre)
		if g.rollouts != nil {
			g.rollouts.table.SetSettings(rolloutSettings(&settings))
		}
		g.scheduleRun()
	})
	if moved {
		g.moveStore(settings.StoreURL)
	}
}

// moveStore makes the gateway use the store at another base URL. What was read of the store, and written to it, may not
// hold for the one there.
func (g *Gateway) moveStore(baseURL string) {
	g.era.MoveStore(func() { g.store.Move(baseURL) })
	g.loop.Do(func() {
		g.listEra.ForgetRecords()
		g.origins.SetWritten(acaciaorigin.Record{})
		if g.rollouts != nil {
			g.rollouts.readStore()
		}
	})
}

func quotaSettings(settings *acaciaplatform.ProcessSettings) acaciabudget.QuotaSettings {
	return acaciabudget.QuotaSettings{Window: settings.QuotaWindow, Overrun: settings.QuotaOverrun, Slack: settings.QuotaSlack}
}

func retrySettings(settings *acaciaplatform.ProcessSettings) acaciabudget.RetrySettings {
	return acaciabudget.RetrySettings{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow}
}

func rolloutSettings(settings *acaciaplatform.ProcessSettings) acaciarollout.Settings {
	return acaciarollout.Settings{ExposeShare: settings.ExposeShare, ExposureSlack: settings.ExposureSlack, RollbackTime: settings.RollbackTime}
}
