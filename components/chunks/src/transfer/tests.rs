mod faults;
mod fixture;
mod single;
