//! Admission, worker selection, retry budgets and quarantine.
