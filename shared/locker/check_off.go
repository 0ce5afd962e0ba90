//go:build !rankcheck

package locker

// checkLock does nothing: ranks are checked only with the build tag rankcheck.
func checkLock(Rank) {}

// checkUnlock does nothing, like checkLock.
func checkUnlock(Rank) {}
