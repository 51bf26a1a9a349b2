//! The file with what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Record { started: Instant::now(), file }
    }

    /// Writes a line with the time since the start in seconds.
    pub fn line(&self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{time:8.3} {text}");
    }
}
